package org.wisteriahinge.core.call

import java.time.Duration
import java.time.Instant
import org.wisteriahinge.core.handover.AttemptPath
import org.wisteriahinge.core.model.ServiceId
import org.wisteriahinge.core.model.TargetId
import org.wisteriahinge.core.model.WorkClass
import org.wisteriahinge.core.quarantine.isSuspected
import org.wisteriahinge.core.retry.Hedging
import org.wisteriahinge.core.retry.RetryDenial
import org.wisteriahinge.core.retry.RetryState
import org.wisteriahinge.core.routing.TargetChoice
import org.wisteriahinge.core.routing.TargetRequest
import org.wisteriahinge.core.survey.SurveyRound

/** Starts a hedge, a parallel attempt, for each repeatable short call with a slow attempt. */
internal fun CallsState.startHedges(now: Instant): CallsDecision = when (retries.settings.hedging) {
    Hedging.Off -> CallsDecision(this)
    is Hedging.AfterQuantile -> calls.values.filter { isHedgeDue(it, now) }
        .sortedBy { it.request.callId.value }
        .fold(CallsDecision(this)) { decision, call -> decision.then { it.hedge(call, now) } }
}

private fun CallsState.isHedgeDue(call: CallInProgress, now: Instant): Boolean {
    val dueAt = hedgeDueAt(call) ?: return false
    return dueAt <= now
}

/** When a hedge of [call] is due if it is not answered before; null if it is not to be hedged. */
private fun CallsState.hedgeDueAt(call: CallInProgress): Instant? {
    if (call.hedgeConsidered || !call.mayBeHedged()) return null
    val attempt = call.attempts.values.singleOrNull() ?: return null
    val delay = hedgeDelay(call) ?: return null
    return if (attempt.isHedgeable()) attempt.startedAt + delay else null
}

/** The instance that a call was handed over to hedges it. */
private fun AttemptInProgress.isHedgeable(): Boolean =
    state == AttemptState.Sent && attempt.path == AttemptPath.Direct

/**
 * The operation's quantile of answer times, but at most half of its objective, because a later
 * hedge would miss it. Without enough observations, half of the objective.
 */
private fun CallsState.hedgeDelay(call: CallInProgress): Duration? {
    val times = retries.of(call.matched.service.id).answerTimes
    val seen = times[call.matched.operation.id]?.takeIf { it.isReliable }?.value
    val latest = call.matched.operation.bounds.objective?.dividedBy(2)
    return when {
        seen == null -> latest
        latest == null -> seen
        else -> minOf(seen, latest)
    }
}

/** When the next hedge is due; null if no call in progress is to be hedged. */
internal fun CallsState.nextHedgeAt(): Instant? = when (retries.settings.hedging) {
    Hedging.Off -> null
    is Hedging.AfterQuantile -> calls.values.mapNotNull { hedgeDueAt(it) }.minOrNull()
}

private fun CallInProgress.mayBeHedged(): Boolean = isRepeatable() && request.replayable &&
    matched.operation.workClass == WorkClass.Short && hasAttemptsLeft()

/** An operation without its own maximum of targets is hedged only during its first attempt. */
private fun CallInProgress.hasAttemptsLeft(): Boolean {
    val bound = matched.operation.bounds.maxTargets ?: return attemptsStarted == 1
    return attemptsReceived + attempts.size < bound
}

private fun CallsState.hedge(call: CallInProgress, now: Instant): CallsDecision {
    val service = call.matched.service.id
    val considered = call.copy(hedgeConsidered = true)
    val spent = retries.withdrawHedge(service, now)
    val destination = hedgeDestination(call, now)
    val denial = when {
        !call.request.retriesAllowed -> RetryDenial.OuterLayerRetries
        isSuspected(call, now) -> RetryDenial.Suspected
        identityOf(call, now).isErr -> RetryDenial.KeyNotAccepted
        shortCallsWait(service) || callsSearchCapacity(service) -> RetryDenial.CallsWaiting
        scarcity.of(service).shortage.isShort(now) -> RetryDenial.Overloaded
        spent == null -> RetryDenial.BudgetSpent
        else -> when (destination) {
            Destination.None, is Destination.RateLimited -> RetryDenial.NoOtherTarget
            is Destination.AtInstance -> return hedged(service, spent)
                .then { it.handOver(considered, destination, now) }
            is Destination.AtTarget -> if (hasFreeSlot(destination.choice.target.id)) {
                return hedged(service, spent)
                    .then { it.forward(considered, destination.choice, now) }
            } else {
                RetryDenial.CallsWaiting
            }
        }
    }
    return CallsDecision(withCall(considered.withStep(TraceStep.NotHedged(now, denial))))
        .emit(CallEffect.Count(CallCounter.HedgeDenied(service, denial)))
}

private fun CallsState.hedged(service: ServiceId, spent: RetryState): CallsDecision =
    CallsDecision(copy(retries = spent)).emit(CallEffect.Count(CallCounter.Hedged(service)))

/** A hedge goes to another instance only if the targets cannot be reached from here. */
private fun CallsState.hedgeDestination(call: CallInProgress, now: Instant): Destination {
    if (handover.isLost(call.matched.service.id)) return chooseDestination(call, now)
    return when (val choice = routing.choose(hedgeRequest(call, now), now)) {
        is TargetChoice.Chosen -> Destination.AtTarget(choice)
        is TargetChoice.RateLimited -> Destination.RateLimited(choice)
        TargetChoice.NoTarget -> Destination.None
    }
}

/** A hedge would take a permit of a target with a rate limit from a call that needs it. */
private fun CallsState.hedgeRequest(call: CallInProgress, now: Instant): TargetRequest {
    val request = routeRequest(call, now)
    return request.copy(exclude = request.exclude.addAll(routing.rateLimits.byTarget.keys))
}

/**
 * A hedge at a busy target delays other requests and rarely speeds up its own call. Requests of
 * this instance count even if the target's last report does not show them.
 */
private fun CallsState.hasFreeSlot(target: TargetId): Boolean {
    val view = routing.targets[target] ?: return false
    val busy = maxOf(view.inFlight, view.load?.inFlight ?: 0)
    return busy < (view.load?.slots ?: view.target.slots)
}

/** Whether a hedge would delay a queued call. Long calls are queued for other slots. */
private fun CallsState.shortCallsWait(service: ServiceId): Boolean =
    (admission.services[service]?.short?.queue?.size ?: 0) > 0

/** Whether a hedge could take the last slot from a call that found none in its first round. */
private fun CallsState.callsSearchCapacity(service: ServiceId): Boolean =
    surveys.open.any { (callId, survey) ->
        survey.round == SurveyRound.Second && calls[callId]?.matched?.service?.id == service
    }
