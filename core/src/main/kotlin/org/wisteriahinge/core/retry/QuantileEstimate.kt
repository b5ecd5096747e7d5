package org.wisteriahinge.core.retry

import java.time.Duration

/** Share of the estimate by which one observation at the extreme moves it. */
private const val STEP = 0.05

/** Observations before the estimate is used; fewer leave it near the first one. */
private const val MIN_OBSERVATIONS = 50L

/**
 * A running estimate of a quantile of durations in constant space.
 *
 * Every observation above the estimate raises it by [quantile] steps, every one below lowers it by
 * 1 - [quantile] steps; the moves cancel out where the share below equals [quantile].
 */
public data class QuantileEstimate(
    val quantile: Double,
    val value: Duration,
    val observations: Long = 1
) {
    /** Whether enough durations were observed. */
    public val isReliable: Boolean get() = observations >= MIN_OBSERVATIONS

    /** The estimate after [observed]. */
    public fun observe(observed: Duration): QuantileEstimate {
        val nanos = value.toNanos().coerceAtLeast(1_000)
        val share = if (observed > value) quantile else quantile - 1
        val next = nanos * (1 + STEP * share)
        return copy(value = Duration.ofNanos(next.toLong()), observations = observations + 1)
    }
}
