package org.wisteriahinge.core.quota

import java.time.Duration
import java.time.Instant

/** Time for which a token may be used; bounds how many all instances together have saved up. */
private val TOKEN_LIFETIME: Duration = Duration.ofMillis(1_500)

private const val NANOS_PER_SECOND = 1e9

/**
 * The tokens of one customer that an instance makes itself while relays do not grant theirs:
 * [perSecond] of them, the n-th at n / [perSecond] after [startedAt]. [lastUsed] is the number of
 * the last one that was used.
 */
public data class StandInTokens(
    val startedAt: Instant,
    val perSecond: Double,
    val lastUsed: Long = 0
) {
    /** These tokens after one was used at [now]; null if there is none. */
    internal fun used(now: Instant): StandInTokens? {
        val newest = madeBy(now)
        val oldest = maxOf(lastUsed, madeBy(now.minus(TOKEN_LIFETIME))) + 1
        return if (oldest <= newest) copy(lastUsed = oldest) else null
    }

    private fun madeBy(moment: Instant): Long =
        (secondsUntil(moment) * perSecond).toLong().coerceAtLeast(0)

    private fun secondsUntil(moment: Instant): Double =
        Duration.between(startedAt, moment).toNanos() / NANOS_PER_SECOND

    /** These tokens at another rate from [now] on; the part of the next one is kept. */
    internal fun at(perSecond: Double, now: Instant): StandInTokens {
        val part = (secondsUntil(now) * this.perSecond).coerceAtLeast(0.0) % 1
        return begun(perSecond, part, now)
    }

    internal companion object {
        /** Tokens of which the first is due after the rest of the [part] that is there. */
        fun begun(perSecond: Double, part: Double, now: Instant): StandInTokens {
            val ahead = Duration.ofNanos((part / perSecond * NANOS_PER_SECOND).toLong())
            return StandInTokens(now - ahead, perSecond)
        }
    }
}
