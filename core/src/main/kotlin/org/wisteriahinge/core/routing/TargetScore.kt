package org.wisteriahinge.core.routing

import java.time.Duration
import java.time.Instant
import kotlin.math.exp
import org.wisteriahinge.core.availability.AvailabilityState
import org.wisteriahinge.core.model.Zone

private const val NANOS_PER_MILLI = 1_000_000.0

/** Pace up to which a target counts as usual; answer times of single requests vary by as much. */
private const val USUAL_PACE = 2.0

/** Silence of a busy target, in usual answer times, from which it counts as slow. */
private const val SILENT_ANSWERS = 6.0

/** Added expected time for a suspect target outside its trial, in usual answer times. */
private const val SUSPECT_PENALTY_ANSWERS = 4.0

/** Added expected time for each request beyond a cold target's ramp, in usual answer times. */
private const val RAMP_PENALTY_ANSWERS = 5.0

/** Part of an answer time that a fully used target without a queue is expected to add. */
private const val BUSY_COST = 0.5

/** What a score depends on besides the target. [usualMillis] is the service's usual answer time. */
internal class ScoreContext(
    val policy: RoutingPolicy.Wisteriahinge,
    val zone: Zone,
    val usualMillis: Double,
    val now: Instant
)

/** Expected time to an answer in milliseconds; lower is better. */
internal fun TargetView.score(context: ScoreContext): Double {
    val slots = target.slots.coerceAtLeast(1)
    val load = expectedLoad(context)
    val waiting = (load + 1 - slots).coerceAtLeast(0.0)
    val used = (load / slots).coerceAtMost(1.0)
    val wait = waiting / slots + BUSY_COST * used * used
    val away = if (target.zone == context.zone) 0.0 else context.policy.zonePenaltyMillis
    return away + context.usualMillis * (expectedPace(context) * (1 + wait) + penalty(context.now))
}

/** Requests at the target now: own ones, and others by a report that counts less as it ages. */
private fun TargetView.expectedLoad(context: ScoreContext): Double {
    val report = load ?: return inFlight + usualOthers
    val ageMillis = Duration.between(report.observedAt, context.now).toNanos() / NANOS_PER_MILLI
    val weight = exp(-ageMillis.coerceAtLeast(0.0) / context.policy.reportHorizonMillis)
    return inFlight + weight * others + (1 - weight) * usualOthers
}

private fun TargetView.expectedPace(context: ScoreContext): Double {
    val seen = if (health.pace < USUAL_PACE) 1.0 else health.pace
    if (inFlight == 0) return seen
    val silentMillis = Duration.between(lastEventAt, context.now).toNanos() / NANOS_PER_MILLI
    return maxOf(seen, silentMillis / (SILENT_ANSWERS * context.usualMillis))
}

private fun TargetView.penalty(now: Instant): Double = when (health.state) {
    AvailabilityState.Cold ->
        RAMP_PENALTY_ANSWERS * (inFlight - health.goodAnswers).coerceAtLeast(0)
    AvailabilityState.Suspect -> if (onTrial(now)) 0.0 else SUSPECT_PENALTY_ANSWERS
    AvailabilityState.Warm,
    AvailabilityState.Ejected,
    AvailabilityState.Draining,
    AvailabilityState.Gone -> 0.0
}

/** Whether a suspect target may get a request to see whether it recovered. */
internal fun TargetView.onTrial(now: Instant): Boolean =
    health.state == AvailabilityState.Suspect && health.isDue(now) && inFlight == 0
