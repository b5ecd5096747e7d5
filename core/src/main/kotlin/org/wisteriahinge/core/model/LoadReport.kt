package org.wisteriahinge.core.model

import java.time.Instant

/** A target's own statement of its load; stale by the time it is read. */
public data class LoadReport(
    val inFlight: Int,
    val slots: Int,
    val observedAt: Instant,
    val draining: Boolean = false
)
