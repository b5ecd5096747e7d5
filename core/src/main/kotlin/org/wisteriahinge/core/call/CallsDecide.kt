package org.wisteriahinge.core.call

import com.github.michaelbull.result.mapBoth
import java.time.Instant
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.Configuration
import org.wisteriahinge.core.model.Execution
import org.wisteriahinge.core.model.Refusal
import org.wisteriahinge.core.model.RefusalReason

/** Decides on [event] at [now]. Pure: reads no clock and performs no I/O. */
public fun CallsState.decide(event: CallEvent, now: Instant): CallsDecision = when (event) {
    is CallEvent.Arrived -> arrive(event.request, now)
    is CallEvent.Answered -> attemptAnswered(event, now)
    is CallEvent.AttemptFailed -> attemptFailed(event, now)
    is CallEvent.Completed ->
        stepAttempt(event.callId, event.attemptId, AttemptTrigger.Completed, now)
    is CallEvent.Truncated ->
        stepAttempt(event.callId, event.attemptId, AttemptTrigger.Truncated, now)
    is CallEvent.CallerGone -> callerGone(event.callId, now)
    is CallEvent.LoadReported ->
        CallsDecision(copy(routing = routing.loadReported(event.targetId, event.load)))
    is CallEvent.Configured -> configured(event.configuration)
    is CallEvent.ClaimSettled -> claimSettled(event, now) { state, call ->
        state.startAttempt(call, now)
    }
    is CallEvent.AnswerCaptured -> CallsDecision(answerCaptured(event))
    CallEvent.Ticked -> CallsDecision(this)
}

private fun CallsState.configured(next: Configuration): CallsDecision =
    if (next.revision <= configuration.revision) {
        CallsDecision(this)
    } else {
        CallsDecision(copy(configuration = next, routing = routing.configured(next.entitlements)))
    }

private fun CallsState.arrive(request: CallRequest, now: Instant): CallsDecision =
    configuration.check(request, now).mapBoth(
        success = { checked ->
            val call = CallInProgress(request, checked.caller, checked.matched)
            copy(calls = calls.put(request.callId, call)).claimStage(call) { state, ready ->
                state.startAttempt(ready, now)
            }
        },
        failure = { reason -> refuse(request.callId, Refusal(reason, Execution.NotRun)) }
    )

/** Refuses a call that holds no target and forgets it. */
internal fun CallsState.refuse(callId: CallId, refusal: Refusal): CallsDecision =
    CallsDecision(copy(calls = calls.remove(callId)))
        .emit(CallEffect.Count(CallCounter.Refused(refusal.reason)))
        .emit(CallEffect.Refuse(callId, refusal))
        .emitAll(endOfClaim(callId, refusal.execution))

private fun CallsState.callerGone(callId: CallId, now: Instant): CallsDecision {
    val call = calls[callId] ?: return CallsDecision(this)
    val execution = if (call.attempts.isEmpty()) Execution.NotRun else Execution.MayHaveRun
    val abandoned = call.attempts.keys.fold(CallsDecision(this)) { decision, attemptId ->
        decision.then { it.stepAttempt(callId, attemptId, AttemptTrigger.Abandoned, now) }
    }
    return abandoned
        .emit(CallEffect.Count(CallCounter.Refused(RefusalReason.CallerGone)))
        .then { it.finish(callId, execution) }
}

/** Forgets a call; [execution] is what is known of its request when it may not be repeated. */
internal fun CallsState.finish(callId: CallId, execution: Execution): CallsDecision =
    CallsDecision(copy(calls = calls.remove(callId)))
        .emit(CallEffect.Finished(callId))
        .emitAll(endOfClaim(callId, execution))
