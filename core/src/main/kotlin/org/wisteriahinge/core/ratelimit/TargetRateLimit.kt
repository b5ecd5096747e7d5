package org.wisteriahinge.core.ratelimit

import java.time.Instant

/**
 * The rate limit of a target: it accepts [requestsPerSecond] from all instances together.
 *
 * [namedAt] is when an answer last named this limit or a lower one.
 */
public data class TargetRateLimit(val requestsPerSecond: Double, val namedAt: Instant)
