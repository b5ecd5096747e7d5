package org.wisteriahinge.core.call

import java.time.Instant
import org.wisteriahinge.core.admission.releaseOnAnswer
import org.wisteriahinge.core.handover.AttemptPath
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.quarantine.connectionBroke
import org.wisteriahinge.core.quarantine.isPossibleAfter

/** Why an attempt ended without an answer for the caller. */
internal sealed interface RetryCause {
    data class Failure(val failure: AttemptFailure) : RetryCause

    /** The target answered with a server error that was not delivered. */
    data object ErrorAnswer : RetryCause
}

/** The attempt to which an action of the chart `call-attempt` applies. */
internal data class AttemptContext(
    val callId: CallId,
    val attempt: Attempt,
    val cause: RetryCause?,
    val now: Instant
)

/** Performs one action that a transition of the chart `call-attempt` lists. */
internal fun CallsState.perform(action: AttemptAction, context: AttemptContext): CallsDecision =
    when (action) {
        AttemptAction.DeliverAnswer -> deliver(context)
        AttemptAction.CancelOthers -> cancelOthers(context)
        AttemptAction.ReleaseTarget ->
            CallsDecision(
                copy(
                    routing = routing.attemptEnded(context.attempt.id),
                    admission = admission.attemptEnded(context.attempt.id)
                )
            )
        AttemptAction.ConsiderRetry -> considerRetry(context)
        AttemptAction.CountTruncated -> countTruncated(context)
        AttemptAction.CancelRequest ->
            CallsDecision(this).emit(CallEffect.CancelAttempt(context.callId, context.attempt.id))
        AttemptAction.FinishCall -> finish(context.callId, context.now)
    }

private fun CallsState.deliver(context: AttemptContext): CallsDecision {
    val call = calls[context.callId] ?: return CallsDecision(this)
    val delivered = CallsDecision(releaseOnAnswer(call, context.now))
        .emit(CallEffect.Deliver(context.callId, context.attempt.id))
    val wonByHedge = call.attempts.size > 1 && context.attempt.number > 1
    if (!wonByHedge) return delivered
    return delivered.emit(CallEffect.Count(CallCounter.HedgeWon(call.matched.service.id)))
}

private fun CallsState.cancelOthers(context: AttemptContext): CallsDecision {
    val call = calls[context.callId] ?: return CallsDecision(this)
    val others = call.attempts.remove(context.attempt.id)
    return others.entries.fold(CallsDecision(this)) { decision, (id, other) ->
        decision.update { it.observeCancelled(call, other, context.now) }
            .then { it.stepAttempt(context.callId, id, AttemptTrigger.Abandoned, context.now) }
    }
}

private fun CallsState.countTruncated(context: AttemptContext): CallsDecision {
    val call = calls[context.callId] ?: return CallsDecision(this)
    val counter = CallCounter.Truncated(call.matched.service.id)
    val target = context.attempt.target.id
    val step = TraceStep.Failed(context.now, target, AttemptFailure.Truncated)
    return CallsDecision(withCall(call.withStep(step))).emit(CallEffect.Count(counter))
        .then { it.observeCutOff(call, context) }
}

/** A delivered answer that was cut off may show a crash too, if a check of the server says so. */
private fun CallsState.observeCutOff(call: CallInProgress, context: AttemptContext): CallsDecision =
    if (context.attempt.path == AttemptPath.Direct &&
        quarantine.settings.evidence.isPossibleAfter(AttemptFailure.Truncated)
    ) {
        connectionBroke(call, context.attempt.target, context.now)
    } else {
        CallsDecision(this)
    }
