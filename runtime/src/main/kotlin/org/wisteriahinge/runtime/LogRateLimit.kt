package org.wisteriahinge.runtime

import java.time.Duration
import java.time.Instant

private const val MILLIS_PER_SECOND = 1_000.0

/** How many lines may be written: [perSecond] in the long run and [burst] at once. */
public data class LogRateLimit(
    val perSecond: Double,
    val burst: Double,
    val tokens: Double = burst,
    val refilledAt: Instant = Instant.EPOCH
) {
    /** The allowance after one line at [now]; null when there is none left. */
    public fun consume(now: Instant): LogRateLimit? {
        val gained = Duration.between(refilledAt, now).toMillis() / MILLIS_PER_SECOND * perSecond
        val filled = minOf(burst, tokens + gained)
        return if (filled < 1) null else copy(tokens = filled - 1, refilledAt = now)
    }
}
