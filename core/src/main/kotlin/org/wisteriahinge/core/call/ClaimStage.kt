package org.wisteriahinge.core.call

import java.time.Instant
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.Execution
import org.wisteriahinge.core.model.Refusal
import org.wisteriahinge.core.model.RefusalReason
import org.wisteriahinge.core.model.Repeatability
import org.wisteriahinge.core.once.ClaimResult
import org.wisteriahinge.core.once.ClaimSettlement
import org.wisteriahinge.core.once.OnceEvent
import org.wisteriahinge.core.once.fingerprint

/** Requests a claim for a call whose operation may not be repeated, and suspends the call. */
internal fun CallsState.enterClaim(call: CallInProgress): StageOutcome =
    when (call.matched.operation.repeatability) {
        Repeatability.Repeatable,
        Repeatability.OncePerRequest -> StageOutcome.Passed(CallsDecision(this))
        Repeatability.AtMostOnce -> requestClaim(call)
    }

private fun CallsState.requestClaim(call: CallInProgress): StageOutcome {
    val request = call.request
    val key = request.idempotencyKey ?: return StageOutcome.Refused(
        CallsDecision(this),
        Refusal(RefusalReason.MissingIdempotencyKey, Execution.NotRun)
    )
    val requested = OnceEvent.Requested(
        callId = request.callId,
        key = key,
        fingerprint = fingerprint(call.caller.customer.id, call.matched.ref, contentOf(request)),
        deadline = request.deadline
    )
    val waiting = withCall(call.copy(claim = CallClaim.Waiting))
    return StageOutcome.Suspended(CallsDecision(waiting).emit(CallEffect.Claim(requested)))
}

private fun contentOf(request: CallRequest): String =
    request.digest?.value ?: "${request.method} ${request.path} ${request.bodyBytes}"

/** Resumes a call whose claim was granted, or answers or refuses it. */
internal fun CallsState.claimSettled(event: CallEvent.ClaimSettled, now: Instant): CallsDecision {
    val call = calls[event.callId]?.takeIf { it.claim is CallClaim.Waiting }
        ?: return unusedSettlement(event)
    val withoutClaim = withCall(call.copy(claim = CallClaim.None))
    return when (val settlement = event.settlement) {
        ClaimSettlement.Granted -> granted(call, now)
        is ClaimSettlement.Answered ->
            CallsDecision(withoutClaim)
                .emit(CallEffect.DeliverRetained(event.callId, settlement.answer))
                .then { it.finish(event.callId, now) }
        is ClaimSettlement.Refused ->
            withoutClaim.refuse(event.callId, settlement.refusal, now)
    }
}

private fun CallsState.granted(call: CallInProgress, now: Instant): CallsDecision {
    val callId = call.request.callId
    val holding = withCall(call.copy(claim = CallClaim.Held()))
    return if (call.request.deadline <= now) {
        holding.refuse(callId, Refusal(RefusalReason.DeadlinePassed, Execution.NotRun), now)
    } else {
        holding.resumeAfter(CallStage.Claim, callId, now)
    }
}

/** Releases a granted key whose caller left while the claim was pending. */
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
    return withCall(call.copy(claim = CallClaim.Held(event.answer)))
}

/** Tells the `once` duty how a call that had requested a claim ended. */
internal fun CallsState.leaveClaim(call: CallInProgress, end: CallEnd): CallsDecision =
    when (val claim = call.claim) {
        CallClaim.None -> CallsDecision(this)
        CallClaim.Waiting ->
            CallsDecision(this).emit(endClaim(call.request.callId, ClaimResult.NotRun))
        is CallClaim.Held ->
            CallsDecision(this).emit(endClaim(call.request.callId, resultOf(claim, call, end)))
    }

private fun resultOf(claim: CallClaim.Held, call: CallInProgress, end: CallEnd): ClaimResult =
    when (end) {
        CallEnd.Answered -> ClaimResult.Answered(claim.answer)
        is CallEnd.Refused -> resultOf(call, end.refusal.execution)
        is CallEnd.CallerGone -> resultOf(call, end.execution)
    }

private fun resultOf(call: CallInProgress, execution: Execution): ClaimResult = when (execution) {
    Execution.NotRun -> if (call.mayHaveRun) ClaimResult.Unknown else ClaimResult.NotRun
    Execution.WasRun, Execution.MayHaveRun -> ClaimResult.Unknown
}

private fun endClaim(callId: CallId, result: ClaimResult): CallEffect =
    CallEffect.EndClaim(OnceEvent.Ended(callId, result))
