package org.wisteriahinge.core.retry

import java.time.Duration

/** Maximum change of the estimate by one observation, relative to the estimate. */
private const val STEP = 0.05

/** Minimum number of observations; with fewer, the estimate is still close to the first one. */
private const val MIN_OBSERVATIONS = 50L

/**
 * A streaming estimate of a quantile of durations in constant space.
 *
 * Each observation above the estimate raises it by [quantile] steps, and each other one lowers it
 * by 1 - [quantile] steps. The changes cancel out when the share of observations below the estimate
 * is [quantile].
 */
public data class QuantileEstimate(
    val quantile: Double,
    val value: Duration,
    val observations: Long = 1
) {
    /** Whether there were enough observations to use the estimate. */
    public val isReliable: Boolean get() = observations >= MIN_OBSERVATIONS

    /** Returns the estimate updated with [observed]. */
    public fun observe(observed: Duration): QuantileEstimate {
        val nanos = value.toNanos().coerceAtLeast(1_000)
        val share = if (observed > value) quantile else quantile - 1
        val next = nanos * (1 + STEP * share)
        return copy(value = Duration.ofNanos(next.toLong()), observations = observations + 1)
    }
}
