package org.wisteriahinge.runtime

import java.time.Duration
import java.time.Instant

private const val MILLIS_PER_SECOND = 1_000.0

/** A token bucket for log lines: [perSecond] on average and at most [burst] at once. */
public data class LogRateLimit(
    val perSecond: Double,
    val burst: Double,
    val tokens: Double = burst,
    val refilledAt: Instant = Instant.EPOCH
) {
    /** Returns the limit after one line at [now], or null if no line may be written. */
    public fun consume(now: Instant): LogRateLimit? {
        val gained = Duration.between(refilledAt, now).toMillis() / MILLIS_PER_SECOND * perSecond
        val filled = minOf(burst, tokens + gained)
        return if (filled < 1) null else copy(tokens = filled - 1, refilledAt = now)
    }
}
