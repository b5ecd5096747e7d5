package org.wisteriahinge.core.call

import java.time.Duration
import java.time.Instant
import org.wisteriahinge.core.model.WorkClass
import org.wisteriahinge.core.quarantine.isSuspected
import org.wisteriahinge.core.retry.Hedging
import org.wisteriahinge.core.retry.RetryDenial
import org.wisteriahinge.core.routing.RouteChoice

/** Starts a parallel attempt for each repeatable short call whose first one is unusually slow. */
internal fun CallsState.startHedges(now: Instant): CallsDecision = when (retries.settings.hedging) {
    Hedging.Off -> CallsDecision(this)
    is Hedging.AfterQuantile -> calls.values.filter { isHedgeDue(it, now) }
        .sortedBy { it.request.callId.value }
        .fold(CallsDecision(this)) { decision, call -> decision.then { it.hedge(call, now) } }
}

private fun CallsState.isHedgeDue(call: CallInProgress, now: Instant): Boolean {
    if (call.hedgeConsidered || call.attemptsStarted != 1 || !call.mayBeHedged()) return false
    val first = call.attempts.values.singleOrNull() ?: return false
    val delay = retries.of(call.matched.service.id).answerTime?.takeIf { it.usable }?.value
        ?: return false
    return first.state == AttemptState.Sent && Duration.between(first.startedAt, now) >= delay
}

private fun CallInProgress.mayBeHedged(): Boolean =
    isRepeatable() && request.replayable && matched.operation.workClass == WorkClass.Short

private fun CallsState.hedge(call: CallInProgress, now: Instant): CallsDecision {
    val service = call.matched.service.id
    val considered = call.copy(hedgeConsidered = true)
    val spent = retries.withdrawHedge(service)
    val choice = routing.choose(routeRequest(call, now), now)
    val denial = when {
        !call.request.retriesAllowed -> RetryDenial.OuterLayerRetries
        isSuspected(call, now) -> RetryDenial.Suspected
        spent == null -> RetryDenial.BudgetSpent
        choice !is RouteChoice.Chosen -> RetryDenial.NoOtherTarget
        else -> return CallsDecision(copy(retries = spent))
            .emit(CallEffect.Count(CallCounter.Hedged(service)))
            .then { it.forward(considered, choice, now) }
    }
    return CallsDecision(withCall(considered))
        .emit(CallEffect.Count(CallCounter.HedgeDenied(service, denial)))
}
