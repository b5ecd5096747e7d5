package org.wisteriahinge.core.keys

import java.time.Duration
import java.time.Instant

/**
 * Share of the bound up to which keys are accepted. What remains is for calls that wait inside for
 * room at a target, for an answer to a survey or for a connection.
 */
private const val ACCEPTANCE_SHARE = 0.9

/** Differences up to this are ordinary corrections of the time of day. */
private val MAX_CLOCK_CORRECTION: Duration = Duration.ofMillis(100)

/** A change of the difference between the clocks that is not followed. */
private val MIN_LEAD_CHANGE: Duration = Duration.ofMillis(50)

/**
 * A moment as both clocks of an instance show it.
 *
 * The [steady] clock never jumps, but may stand still while the machine is suspended. The
 * [timeOfDay] goes on then, but may be corrected by seconds either way.
 */
public data class ClockReading(val steady: Instant, val timeOfDay: Instant) {
    /** The reading at [moment] of the steady clock, if no clock stood still or jumped between. */
    public fun at(moment: Instant): ClockReading =
        ClockReading(moment, timeOfDay + Duration.between(steady, moment))
}

/**
 * Whether the configuration in force is young enough to tell which keys are accepted.
 *
 * A key that was taken away must not be accepted later than [revocationBound] after the store
 * accepted the configuration without it, also by an instance that cannot read it; null if there is
 * no such bound. All that was written before [confirmedAt] is known. [timeOfDayLead] is by how much
 * the time of day is ahead of the steady clock, as last compared.
 */
public data class KeyTrust(
    val revocationBound: Duration? = null,
    val confirmedAt: ClockReading? = null,
    val timeOfDayLead: Duration? = null
) {
    /** The state after the configuration was found to be current as of [moment]. */
    public fun confirmed(moment: ClockReading): KeyTrust {
        val isOlder = confirmedAt != null && moment.steady < confirmedAt.steady
        return if (isOlder) this else copy(confirmedAt = moment)
    }

    /** Whether the clocks must be compared again if their difference is [lead] now. */
    public fun isOutdatedBy(lead: Duration): Boolean = revocationBound != null &&
        (timeOfDayLead == null || (lead - timeOfDayLead).abs() >= MIN_LEAD_CHANGE)

    /**
     * The age of the configuration at [now] of the steady clock: the larger of its ages by both
     * clocks. Null if it is not known, because nothing was read yet or a clock went back.
     */
    public fun age(now: Instant): Duration? {
        val confirmed = confirmedAt ?: return null
        val lead = timeOfDayLead ?: return null
        val steadyAge = Duration.between(confirmed.steady, now)
        val timeOfDayAge = Duration.between(confirmed.timeOfDay, now + lead)
        if (minOf(steadyAge, timeOfDayAge) < MAX_CLOCK_CORRECTION.negated()) return null
        return maxOf(steadyAge, timeOfDayAge, Duration.ZERO)
    }

    /** Whether keys are accepted at [now]. */
    public fun acceptsKeys(now: Instant): Boolean {
        val bound = revocationBound ?: return true
        val age = age(now) ?: return false
        return age < bound.share(ACCEPTANCE_SHARE)
    }

    /** When a request that presented a key must have been sent at [now]; null without a bound. */
    public fun sendBy(now: Instant): Instant? = revocationBound?.let { bound ->
        now + (bound - (age(now) ?: bound))
    }
}

private fun Duration.share(part: Double): Duration = Duration.ofNanos((toNanos() * part).toLong())
