package org.wisteriahinge.core.scarcity

import java.time.Duration
import java.time.Instant

/** Time constant with which counts of surveys decay. A peak of demand lasts seconds. */
private const val DECAY_MILLIS = 2_000.0

/** Surveys with ample room that are assumed besides the observed ones, which may be few. */
private const val ASSUMED_SURVEYS = 2.0

/** Share of surveys without ample room from which the order of calls goes before full use. */
private const val SHORT_SHARE = 0.25

/**
 * How often surveys of a service found no target that would still work at its usual pace. [surveys]
 * and, among them, [full] are decayed counts as of [countedAt].
 *
 * This depends on what targets report and not on what this instance refuses, so that all instances
 * see the same shortage and none of them takes what the others leave.
 */
public data class Shortage(
    val surveys: Double = 0.0,
    val full: Double = 0.0,
    val countedAt: Instant = Instant.EPOCH
) {
    /** The share of surveys without ample room at [now]. */
    public fun share(now: Instant): Double {
        val weight = decayWeight(countedAt, now, DECAY_MILLIS)
        return full * weight / (surveys * weight + ASSUMED_SURVEYS)
    }

    /** The number of surveys that count at [now]. */
    internal fun count(now: Instant): Double = surveys * decayWeight(countedAt, now, DECAY_MILLIS)

    /** Whether calls compete for the room of the service. */
    public fun isShort(now: Instant): Boolean = share(now) > SHORT_SHARE

    internal fun record(isFull: Boolean, now: Instant): Shortage {
        val weight = decayWeight(countedAt, now, DECAY_MILLIS)
        val found = if (isFull) 1.0 else 0.0
        return Shortage(surveys * weight + 1, full * weight + found, now)
    }
}

/** The weight at [now] of a count as of [countedAt]. */
internal fun decayWeight(countedAt: Instant, now: Instant, constantMillis: Double): Double {
    val ageMillis = Duration.between(countedAt, now).toMillis().coerceAtLeast(0)
    return StrictMath.exp(-ageMillis / constantMillis)
}
