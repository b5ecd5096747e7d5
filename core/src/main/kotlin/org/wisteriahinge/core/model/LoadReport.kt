package org.wisteriahinge.core.model

import java.time.Instant

/**
 * A target's own statement of its load; stale by the time it is read.
 *
 * [pacePercent] is how long work takes on its machine at that moment; 100 is usual, null unknown.
 */
public data class LoadReport(
    val inFlight: Int,
    val slots: Int,
    val observedAt: Instant,
    val draining: Boolean = false,
    val pacePercent: Int? = null
)
