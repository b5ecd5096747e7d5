package org.wisteriahinge.core.call

import java.time.Instant
import org.wisteriahinge.core.membership.RetainedAnswer
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.Execution
import org.wisteriahinge.core.model.Refusal
import org.wisteriahinge.core.model.RefusalReason
import org.wisteriahinge.core.model.Repeatability
import org.wisteriahinge.core.once.ClaimResult
import org.wisteriahinge.core.once.ClaimSettlement
import org.wisteriahinge.core.once.OnceEvent
import org.wisteriahinge.core.once.fingerprint

/** Asks for a claim when the operation may not be repeated; otherwise [next] goes on at once. */
internal fun CallsState.claimStage(
    call: CallInProgress,
    next: (CallsState, CallInProgress) -> CallsDecision
): CallsDecision = when (call.matched.operation.repeatability) {
    Repeatability.Repeatable -> next(this, call)
    Repeatability.AtMostOnce -> requestClaim(call)
}

private fun CallsState.requestClaim(call: CallInProgress): CallsDecision {
    val request = call.request
    val key = request.idempotencyKey ?: return refuse(
        request.callId,
        Refusal(RefusalReason.MissingIdempotencyKey, Execution.NotRun)
    )
    val requested = OnceEvent.Requested(
        callId = request.callId,
        key = key,
        fingerprint = fingerprint(call.caller.customer.id, call.matched.ref, contentOf(request)),
        deadline = request.deadline
    )
    val waiting = call.copy(claim = CallClaim.Waiting)
    return CallsDecision(copy(calls = calls.put(request.callId, waiting)))
        .emit(CallEffect.Claim(requested))
}

private fun contentOf(request: CallRequest): String =
    request.digest?.value ?: "${request.method} ${request.path} ${request.bodyBytes}"

/** Goes on with a call whose claim was settled; [next] runs when the call holds the key. */
internal fun CallsState.claimSettled(
    event: CallEvent.ClaimSettled,
    now: Instant,
    next: (CallsState, CallInProgress) -> CallsDecision
): CallsDecision {
    val call = calls[event.callId]?.takeIf { it.claim is CallClaim.Waiting }
        ?: return unusedSettlement(event)
    return when (val settlement = event.settlement) {
        ClaimSettlement.Granted -> granted(call, now, next)
        is ClaimSettlement.Answered -> withoutClaim(call).finish(event.callId, Execution.WasRun)
            .deliverFirst(CallEffect.DeliverRetained(event.callId, settlement.answer))
        is ClaimSettlement.Refused ->
            withoutClaim(call).refuse(event.callId, settlement.refusal)
    }
}

private fun CallsDecision.deliverFirst(effect: CallEffect): CallsDecision =
    copy(effects = effects.add(0, effect))

private fun CallsState.granted(
    call: CallInProgress,
    now: Instant,
    next: (CallsState, CallInProgress) -> CallsDecision
): CallsDecision {
    val held = call.copy(claim = CallClaim.Held())
    val holding = copy(calls = calls.put(call.request.callId, held))
    return if (call.request.deadline <= now) {
        holding.refuse(
            call.request.callId,
            Refusal(RefusalReason.DeadlinePassed, Execution.NotRun)
        )
    } else {
        next(holding, held)
    }
}

private fun CallsState.withoutClaim(call: CallInProgress): CallsState =
    copy(calls = calls.put(call.request.callId, call.copy(claim = CallClaim.None)))

/** The caller left while its claim was being made; a key that was granted is given back. */
private fun CallsState.unusedSettlement(event: CallEvent.ClaimSettled): CallsDecision {
    val isHeld = calls[event.callId]?.claim is CallClaim.Held
    return if (event.settlement is ClaimSettlement.Granted && !isHeld) {
        CallsDecision(this).emit(endClaim(event.callId, ClaimResult.NotRun))
    } else {
        CallsDecision(this)
    }
}

internal fun CallsState.answerCaptured(event: CallEvent.AnswerCaptured): CallsState {
    val call = calls[event.callId]?.takeIf { it.claim is CallClaim.Held } ?: return this
    return copy(
        calls = calls.put(event.callId, call.copy(claim = CallClaim.Held(event.answer)))
    )
}

/** What the `once` duty is told when the call [callId] ends with [execution]. */
internal fun CallsState.endOfClaim(callId: CallId, execution: Execution): List<CallEffect> =
    when (val claim = calls[callId]?.claim) {
        null, CallClaim.None -> emptyList()
        CallClaim.Waiting -> listOf(endClaim(callId, ClaimResult.NotRun))
        is CallClaim.Held -> listOf(endClaim(callId, resultOf(claim, execution)))
    }

private fun resultOf(claim: CallClaim.Held, execution: Execution): ClaimResult = when (execution) {
    Execution.NotRun -> ClaimResult.NotRun
    Execution.WasRun -> ClaimResult.Answered(claim.answer)
    Execution.MayHaveRun -> ClaimResult.Unknown
}

private fun endClaim(callId: CallId, result: ClaimResult): CallEffect =
    CallEffect.EndClaim(OnceEvent.Ended(callId, result))
