package org.wisteriahinge.core.ratelimit

import java.time.Instant
import org.wisteriahinge.core.limits.TokenBucket

/** Requests that an instance may save up for each of its slices. */
private const val TOKENS_PER_SLICE = 1.5

/**
 * The rate limit of a target: it accepts [requestsPerSecond] from all instances together.
 *
 * [namedAt] is when an answer last named this limit or a lower one, [checkedAt] when the target was
 * last heard of or asked. This instance may send what its [slices] allow, which [bucket] counts.
 */
public data class TargetRateLimit(
    val requestsPerSecond: Double,
    val namedAt: Instant,
    val checkedAt: Instant,
    val slices: RateSlices,
    val bucket: TokenBucket
) {
    /** Requests per second that this instance may send. */
    internal val ownPerSecond: Double get() = requestsPerSecond * slices.owned / slices.count

    /** This limit with its bucket filled up to [now], at [rateFactor] times its rate. */
    internal fun filled(rateFactor: Double, now: Instant): TargetRateLimit {
        val capacity = slices.owned * TOKENS_PER_SLICE
        return copy(bucket = bucket.filled(ownPerSecond * rateFactor, capacity, now))
    }
}
