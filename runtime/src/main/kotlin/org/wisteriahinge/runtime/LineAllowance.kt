package org.wisteriahinge.runtime

import java.time.Duration
import java.time.Instant

private const val MILLIS_PER_SECOND = 1_000.0

/** How many lines may be written: [perSecond] in the long run and [burst] at once. */
public data class LineAllowance(
    val perSecond: Double,
    val burst: Double,
    val left: Double = burst,
    val asOf: Instant = Instant.EPOCH
) {
    /** The allowance after one line at [now]; null when there is none left. */
    public fun spend(now: Instant): LineAllowance? {
        val gained = Duration.between(asOf, now).toMillis() / MILLIS_PER_SECOND * perSecond
        val filled = minOf(burst, left + gained)
        return if (filled < 1) null else copy(left = filled - 1, asOf = now)
    }
}
