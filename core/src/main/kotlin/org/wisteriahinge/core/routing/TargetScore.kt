package org.wisteriahinge.core.routing

import java.time.Duration
import java.time.Instant
import kotlin.math.exp
import org.wisteriahinge.core.availability.AvailabilityState
import org.wisteriahinge.core.availability.SLOW_PACE
import org.wisteriahinge.core.model.Zone

private const val NANOS_PER_MILLI = 1_000_000.0

/** Silence of a busy target, in usual answer times, from which it counts as slow. */
private const val SILENT_ANSWERS = 6.0

/** Added expected time for a suspect target outside its trial, in usual answer times. */
private const val SUSPECT_PENALTY_ANSWERS = 4.0

/** Added expected time for each request beyond a cold target's ramp, in usual answer times. */
private const val RAMP_PENALTY_ANSWERS = 5.0

/** Part of an answer time that a fully used target without a queue is expected to add. */
private const val BUSY_COST = 0.5

/** Added expected time for a target that did not answer a probe, in usual answer times. */
private const val SILENT_PENALTY_ANSWERS = 6.0

/** A silent target is tried again after this time. */
private val SILENCE_COUNTS: Duration = Duration.ofSeconds(1)

/** Age at which a reported pace counts 37%. */
private const val PACE_HORIZON_MILLIS = 150.0

/** Pace of a target that started a moment ago. */
private const val COLD_PACE = 2.0

private const val PERCENT = 100.0
private const val BYTES_PER_KIB = 1_024.0

/**
 * What a score depends on besides the target.
 *
 * [usualMillis] is the service's usual answer time, [usualReportedPace] the mean pace that its
 * targets report.
 */
internal class ScoreContext(
    val policy: RoutingPolicy.Wisteriahinge,
    val zone: Zone,
    val usualMillis: Double,
    val usualReportedPace: Double,
    val bodyBytes: Long,
    val now: Instant
) {
    /** Added time for a target in another zone. */
    val awayMillis: Double
        get() = policy.zonePenaltyMillis +
            policy.zonePenaltyMillisPerKib * bodyBytes / BYTES_PER_KIB
}

/** Expected time to an answer in milliseconds; lower is better. */
internal fun TargetView.score(context: ScoreContext): Double {
    val slots = target.slots.coerceAtLeast(1)
    val load = expectedLoad(context)
    val waiting = (load + 1 - slots).coerceAtLeast(0.0)
    val used = (load / slots).coerceAtMost(1.0)
    val wait = waiting / slots + BUSY_COST * used * used
    val away = if (target.zone == context.zone) 0.0 else context.awayMillis
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
    val usual = reportedPace(context) * coldPace(context.now)
    val seen = if (health.pace <= SLOW_PACE) usual else usual * health.pace
    if (inFlight == 0) return seen
    val silentMillis = Duration.between(lastEventAt, context.now).toNanos() / NANOS_PER_MILLI
    return maxOf(seen, silentMillis / (SILENT_ANSWERS * context.usualMillis))
}

/** The reported pace, which counts less as it ages, because other tenants come and go. */
private fun TargetView.reportedPace(context: ScoreContext): Double {
    val report = load ?: return context.usualReportedPace
    val pace = report.pacePercent ?: return context.usualReportedPace
    val ageMillis = Duration.between(report.observedAt, context.now).toNanos() / NANOS_PER_MILLI
    val weight = exp(-ageMillis.coerceAtLeast(0.0) / PACE_HORIZON_MILLIS)
    return weight * pace / PERCENT + (1 - weight) * context.usualReportedPace
}

private fun TargetView.coldPace(now: Instant): Double {
    val until = target.coldUntil ?: return 1.0
    return if (until > now) COLD_PACE else 1.0
}

private fun TargetView.isSilent(now: Instant): Boolean =
    silentSince?.let { it + SILENCE_COUNTS > now } == true

private fun TargetView.penalty(now: Instant): Double =
    healthPenalty(now) + if (isSilent(now)) SILENT_PENALTY_ANSWERS else 0.0

private fun TargetView.healthPenalty(now: Instant): Double = when (health.state) {
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
