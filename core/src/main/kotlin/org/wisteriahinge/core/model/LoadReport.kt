package org.wisteriahinge.core.model

import java.time.Instant

/**
 * The load of a target at [observedAt], as reported by the target itself.
 *
 * [pacePercent] is the time that work takes on its machine, relative to the normal time: 100 is
 * normal, 200 twice as slow, null unknown.
 */
public data class LoadReport(
    val inFlight: Int,
    val slots: Int,
    val observedAt: Instant,
    val draining: Boolean = false,
    val pacePercent: Int? = null
)
