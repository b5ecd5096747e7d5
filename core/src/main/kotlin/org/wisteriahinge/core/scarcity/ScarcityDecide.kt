package org.wisteriahinge.core.scarcity

import java.time.Duration
import java.time.Instant
import java.util.SplittableRandom
import org.wisteriahinge.core.call.CallCounter
import org.wisteriahinge.core.call.CallEffect
import org.wisteriahinge.core.call.CallInProgress
import org.wisteriahinge.core.call.CallsDecision
import org.wisteriahinge.core.call.CallsState
import org.wisteriahinge.core.call.RoomDenial
import org.wisteriahinge.core.call.urgencyStep
import org.wisteriahinge.core.model.Execution
import org.wisteriahinge.core.model.Refusal
import org.wisteriahinge.core.model.RefusalReason
import org.wisteriahinge.core.model.TargetId
import org.wisteriahinge.core.routing.TargetView

/** A call with less than this part of the median answer time left is not answered in time. */
private const val MIN_MEDIANS_LEFT = 0.5

/** Callers that retry after this delay, or up to twice of it, can still be answered in time. */
private const val SHORT_DELAY_MILLIS = 30.0

/** Delay while most calls find no room, so that callers retry after the peak. */
private const val LONG_DELAY_MILLIS = 250.0

/** Parts of the time within which an answer meets its objective after which callers retry. */
private const val SLACK_DIVISOR = 3

/** Share of surveys without ample room at which the delay is halfway to the long one. */
private const val MIDDLE_SHARE = 0.5

private const val NANOS_PER_MILLI = 1_000_000.0

/** A refusal for lack of room, and the decision that remembers and counts it. */
internal class ScarcityRefusal(val decision: CallsDecision, val refusal: Refusal)

/** Counts [call] for its customer. */
internal fun CallsState.countDemand(call: CallInProgress, now: Instant): CallsState {
    val customer = call.caller.keyed?.id ?: return this
    val next = scarcity.update(call.matched.service.id) {
        it.copy(customers = it.customers.arrived(customer, now))
    }
    return copy(scarcity = next)
}

/** Records whether one of the targets [probed] for [call] still works at its usual pace. */
internal fun CallsState.recordSurvey(
    call: CallInProgress,
    probed: Collection<TargetId>,
    now: Instant
): CallsState {
    val isFull = probed.none { id -> routing.targets[id]?.isBelowUsualPaceLimit() == true }
    val next = scarcity.update(call.matched.service.id) {
        it.copy(shortage = it.shortage.record(isFull, now))
    }
    return copy(scarcity = next)
}

private fun TargetView.isBelowUsualPaceLimit(): Boolean {
    val report = load ?: return true
    return isBelowUsualPaceLimit(maxOf(report.inFlight, inFlight), report.slots)
}

/** Refuses [call] if no target can answer it before its deadline; null if one may. */
internal fun CallsState.refuseIfHopeless(call: CallInProgress, now: Instant): ScarcityRefusal? {
    if (call.matched.operation.bounds.objective == null) return null
    val left = Duration.between(now, call.request.deadline)
    val isHopeless = left.toNanos() < medianAnswerTime(call).toNanos() * MIN_MEDIANS_LEFT
    return if (isHopeless) refuseForScarcity(call, RoomDenial.Hopeless, left, now) else null
}

/** Refuses [call] because no target has room for it. */
internal fun CallsState.refuseFull(call: CallInProgress, now: Instant): ScarcityRefusal =
    refuseForScarcity(call, roomDenial(call, now), returnDelay(call, now), now)

private fun CallsState.roomDenial(call: CallInProgress, now: Instant): RoomDenial {
    val scarcity = scarcity.of(call.matched.service.id)
    return when {
        scarcity.refusals.isEarly(call.request, now) -> RoomDenial.Early
        scarcity.isAboveShare(call) -> RoomDenial.AboveShare
        else -> RoomDenial.Full
    }
}

private fun CallsState.refuseForScarcity(
    call: CallInProgress,
    denial: RoomDenial,
    delay: Duration,
    now: Instant
): ScarcityRefusal {
    val next = scarcity.update(call.matched.service.id) {
        it.copy(refusals = it.refusals.refused(call.request, now + delay, now))
    }
    val refusal = Refusal(RefusalReason.Overloaded, Execution.NotRun, delay)
    val decision = CallsDecision(copy(scarcity = next))
        .emit(CallEffect.Count(CallCounter.RoomDenied(call.matched.service.id, denial)))
    return ScarcityRefusal(decision, refusal)
}

/**
 * When the caller of [call] may come back: soon while slots become free, later in a lasting
 * shortage, and the later the less urgent the call is. A random part spreads the returns.
 */
private fun CallsState.returnDelay(call: CallInProgress, now: Instant): Duration {
    val draw = SplittableRandom(routing.seed xor call.request.callId.value)
    val share = scarcity.of(call.matched.service.id).shortage.share(now)
    val lasting = (share / MIDDLE_SHARE / 2).coerceIn(0.0, 1.0)
    val base = SHORT_DELAY_MILLIS + lasting * (longDelayMillis(call) - SHORT_DELAY_MILLIS)
    val mean = base * (1 + urgencyStep(call) / 2.0)
    return Duration.ofNanos((mean * (1 + draw.nextDouble()) * NANOS_PER_MILLI).toLong())
}

/** A caller that comes back later than the objective allows gets little from the answer. */
private fun CallsState.longDelayMillis(call: CallInProgress): Double {
    val objective = call.matched.operation.bounds.objective ?: return LONG_DELAY_MILLIS
    val slackMillis = objective.minus(medianAnswerTime(call)).toMillis() / SLACK_DIVISOR.toDouble()
    return slackMillis.coerceIn(SHORT_DELAY_MILLIS, LONG_DELAY_MILLIS)
}

private fun CallsState.medianAnswerTime(call: CallInProgress): Duration {
    val latency = routing.latencies[call.matched.service.id] ?: return Duration.ZERO
    val medianMillis = latency.medianMillis(call.matched.operation.id)
    return Duration.ofNanos((medianMillis * NANOS_PER_MILLI).toLong())
}
