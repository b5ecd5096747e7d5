package org.wisteriahinge.core.model

import java.time.Duration

/**
 * What a target says about itself in an answer, besides its load.
 *
 * @property rateLimit the rate of requests that it accepts
 * @property isLeaving whether it is about to end and wants no new requests
 * @property pause how long it wants no requests from this instance; null if it named no time
 */
public data class TargetStatement(
    val rateLimit: RateLimitReport = RateLimitReport.Unlimited,
    val isLeaving: Boolean = false,
    val pause: Duration? = null
)
