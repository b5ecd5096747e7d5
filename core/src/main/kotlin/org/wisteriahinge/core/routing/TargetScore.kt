package org.wisteriahinge.core.routing

import java.time.Duration
import java.time.Instant
import org.wisteriahinge.core.availability.AvailabilityState
import org.wisteriahinge.core.availability.SUSPECT_LATENCY_RATIO
import org.wisteriahinge.core.model.Zone

private const val NANOS_PER_MILLI = 1_000_000.0

/** Time without an answer after which a busy target counts as slow, in median answer times. */
private const val STALL_LATENCIES = 6.0

/** Penalty for a suspect target for which no trial is due, in median answer times. */
private const val SUSPECT_PENALTY_LATENCIES = 4.0

/** Penalty for each request beyond a cold target's ramp, in median answer times. */
private const val RAMP_PENALTY_LATENCIES = 5.0

/** Part of an answer time that a target with all slots in use and no queue adds. */
private const val UTILIZATION_COST = 0.5

/** Penalty for a target that did not answer a probe in time, in median answer times. */
private const val UNRESPONSIVE_PENALTY_LATENCIES = 6.0

/** Time for which the penalty of an unresponsive target applies. */
private val UNRESPONSIVE_HOLD: Duration = Duration.ofSeconds(1)

/** Time constant with which the weight of a reported pace decays. */
private const val PACE_REPORT_DECAY_MILLIS = 150.0

/** Pace of a target that is still slow after its start. */
private const val COLD_PACE = 2.0

private const val PERCENT = 100.0
private const val BYTES_PER_KIB = 1_024.0

/**
 * The inputs of a score that do not depend on the target.
 *
 * [medianMillis] is the median answer time of the service, [meanReportedPace] the mean pace that
 * its targets report.
 */
internal class ScoreContext(
    val policy: RoutingPolicy.LeastExpectedTime,
    val zone: Zone,
    val medianMillis: Double,
    val meanReportedPace: Double,
    val bodyBytes: Long,
    val now: Instant
) {
    /** Expected additional time for a target in another zone. */
    val crossZoneMillis: Double
        get() = policy.zonePenaltyMillis +
            policy.zonePenaltyMillisPerKib * bodyBytes / BYTES_PER_KIB
}

/** Expected time until this target answers, in milliseconds with penalties; lower is better. */
internal fun TargetView.score(context: ScoreContext): Double {
    val slots = target.slots.coerceAtLeast(1)
    val load = expectedLoad(context)
    val waiting = (load + 1 - slots).coerceAtLeast(0.0)
    val used = (load / slots).coerceAtMost(1.0)
    val wait = waiting / slots + UTILIZATION_COST * used * used
    val away = if (target.zone == context.zone) 0.0 else context.crossZoneMillis
    return away + context.medianMillis * (expectedPace(context) * (1 + wait) + penalty(context.now))
}

/**
 * Expected requests at the target: those of this instance, and those of other instances by the
 * last load report, whose weight decays with its age in favour of the mean.
 */
private fun TargetView.expectedLoad(context: ScoreContext): Double {
    val report = load ?: return inFlight + meanOtherInFlight
    val ageMillis = Duration.between(report.observedAt, context.now).toNanos() / NANOS_PER_MILLI
    val others =
        decaying(otherInFlight, meanOtherInFlight, ageMillis, context.policy.reportDecayMillis)
    return inFlight + others
}

private fun TargetView.expectedPace(context: ScoreContext): Double {
    val pace = reportedPace(context) * coldPace(context.now)
    val isUsual = health.latencyRatio <= SUSPECT_LATENCY_RATIO
    val expected = if (isUsual) pace else pace * health.latencyRatio
    if (inFlight == 0) return expected
    val stalledMillis = Duration.between(lastProgressAt, context.now).toNanos() / NANOS_PER_MILLI
    return maxOf(expected, stalledMillis / (STALL_LATENCIES * context.medianMillis))
}

/** The reported pace, decaying with its age to the mean, because load on the machine varies. */
private fun TargetView.reportedPace(context: ScoreContext): Double {
    val report = load ?: return context.meanReportedPace
    val pace = report.pacePercent ?: return context.meanReportedPace
    val ageMillis = Duration.between(report.observedAt, context.now).toNanos() / NANOS_PER_MILLI
    return decaying(pace / PERCENT, context.meanReportedPace, ageMillis, PACE_REPORT_DECAY_MILLIS)
}

/**
 * A [reported] figure of the age [ageMillis], which decays to the [mean].
 *
 * A report that equals the mean gives exactly the mean at any age, so that equal targets have equal
 * scores. StrictMath gives the same bits on every kind of machine, and so the same choices.
 */
private fun decaying(
    reported: Double,
    mean: Double,
    ageMillis: Double,
    decayMillis: Double
): Double {
    val weight = StrictMath.exp(-ageMillis.coerceAtLeast(0.0) / decayMillis)
    return mean + weight * (reported - mean)
}

private fun TargetView.coldPace(now: Instant): Double {
    val until = target.coldUntil ?: return 1.0
    return if (until > now) COLD_PACE else 1.0
}

private fun TargetView.isUnresponsive(now: Instant): Boolean =
    unresponsiveSince?.let { it + UNRESPONSIVE_HOLD > now } == true

private fun TargetView.penalty(now: Instant): Double =
    healthPenalty(now) + if (isUnresponsive(now)) UNRESPONSIVE_PENALTY_LATENCIES else 0.0

private fun TargetView.healthPenalty(now: Instant): Double = when (health.state) {
    AvailabilityState.Cold ->
        RAMP_PENALTY_LATENCIES * (inFlight - health.successes).coerceAtLeast(0)
    AvailabilityState.Suspect -> if (isTrialDue(now)) 0.0 else SUSPECT_PENALTY_LATENCIES
    AvailabilityState.Warm,
    AvailabilityState.Ejected,
    AvailabilityState.Draining,
    AvailabilityState.Gone -> 0.0
}

/** Whether a suspect target may get a trial request to test whether it recovered. */
internal fun TargetView.isTrialDue(now: Instant): Boolean =
    health.state == AvailabilityState.Suspect && health.isDue(now) && inFlight == 0
