package org.wisteriahinge.core.call

import java.time.Duration
import java.time.Instant
import org.wisteriahinge.core.model.AttemptId
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.Execution
import org.wisteriahinge.core.model.Refusal
import org.wisteriahinge.core.model.RefusalReason
import org.wisteriahinge.core.routing.AttemptResult
import org.wisteriahinge.core.routing.RouteChoice
import org.wisteriahinge.core.routing.RouteRequest

/** Delay told to callers when no target is available; targets usually return within a second. */
private val RETRY_AFTER_NO_TARGET: Duration = Duration.ofSeconds(1)

/** Chooses a target for [call] and forwards it, or refuses when there is none. */
internal fun CallsState.startAttempt(call: CallInProgress, now: Instant): CallsDecision {
    val route = RouteRequest(call.matched.service.id, call.matched.operation.workClass)
    return when (val choice = routing.choose(route)) {
        is RouteChoice.Chosen -> copy(routing = choice.routing).forward(call, choice, now)
        RouteChoice.NoTarget -> refuse(
            call.request.callId,
            Refusal(RefusalReason.NoTarget, Execution.NotRun, RETRY_AFTER_NO_TARGET)
        )
    }
}

private fun CallsState.forward(
    call: CallInProgress,
    choice: RouteChoice.Chosen,
    now: Instant
): CallsDecision {
    val attempt = Attempt(
        id = AttemptId(lastAttemptId + 1),
        number = call.attemptsStarted + 1,
        target = choice.target,
        deadline = call.request.deadline
    )
    val started = call.copy(
        attempts = call.attempts.put(
            attempt.id,
            AttemptInProgress(attempt, attemptChart.initial)
        ),
        attemptsStarted = attempt.number
    )
    val next = copy(
        lastAttemptId = attempt.id.value,
        calls = calls.put(call.request.callId, started),
        routing = routing.attemptStarted(attempt.id, choice.target.id, now)
    )
    return CallsDecision(next).emit(CallEffect.Forward(call.request.callId, attempt))
}

internal fun CallsState.attemptAnswered(event: CallEvent.Answered, now: Instant): CallsDecision {
    val call = calls[event.callId] ?: return CallsDecision(this)
    if (event.attemptId !in call.attempts) return CallsDecision(this)
    val result = AttemptResult.Answered(event.status, event.load)
    val counted = CallCounter.Answered(call.matched.service.id, event.status)
    return CallsDecision(copy(routing = routing.attemptResult(event.attemptId, result)))
        .emit(CallEffect.Count(counted))
        .then { it.stepAttempt(event.callId, event.attemptId, AttemptTrigger.Answered, now) }
}

internal fun CallsState.attemptFailed(event: CallEvent.AttemptFailed, now: Instant): CallsDecision {
    val call = calls[event.callId] ?: return CallsDecision(this)
    if (event.attemptId !in call.attempts) return CallsDecision(this)
    val result = AttemptResult.Failed(event.failure, event.load)
    val counted = CallCounter.AttemptFailed(call.matched.service.id, event.failure)
    return CallsDecision(copy(routing = routing.attemptResult(event.attemptId, result)))
        .emit(CallEffect.Count(counted))
        .then {
            it.stepAttempt(event.callId, event.attemptId, AttemptTrigger.Failed, now, event)
        }
}

/** Interprets [trigger] in the chart `call-attempt` and performs the actions it lists. */
internal fun CallsState.stepAttempt(
    callId: CallId,
    attemptId: AttemptId,
    trigger: AttemptTrigger,
    now: Instant,
    failed: CallEvent.AttemptFailed? = null
): CallsDecision {
    val inProgress = calls[callId]?.attempts?.get(attemptId) ?: return CallsDecision(this)
    val step = attemptChart.step(inProgress.state, trigger)
    val context = AttemptContext(callId, inProgress.attempt, failed, now)
    val stepped = withAttempt(callId, inProgress.copy(state = step.state))
    return step.effects.fold(CallsDecision(stepped)) { decision, action ->
        decision.then { it.perform(action, context) }
    }
}

private fun CallsState.withAttempt(callId: CallId, changed: AttemptInProgress): CallsState {
    val call = calls[callId] ?: return this
    val attempts = if (changed.state in attemptChart.finalStates) {
        call.attempts.remove(changed.attempt.id)
    } else {
        call.attempts.put(changed.attempt.id, changed)
    }
    return copy(calls = calls.put(callId, call.copy(attempts = attempts)))
}

private data class AttemptContext(
    val callId: CallId,
    val attempt: Attempt,
    val failed: CallEvent.AttemptFailed?,
    val now: Instant
)

private fun CallsState.perform(action: AttemptAction, context: AttemptContext): CallsDecision =
    when (action) {
        AttemptAction.DeliverAnswer ->
            CallsDecision(this).emit(CallEffect.Deliver(context.callId, context.attempt.id))
        AttemptAction.ReleaseTarget ->
            CallsDecision(copy(routing = routing.attemptEnded(context.attempt.id)))
        AttemptAction.ConsiderRetry -> considerRetry(context)
        AttemptAction.CountTruncated -> countTruncated(context)
        AttemptAction.CancelRequest ->
            CallsDecision(this).emit(CallEffect.CancelAttempt(context.callId, context.attempt.id))
        AttemptAction.FinishCall -> finish(context.callId, Execution.WasRun)
    }

private fun CallsState.considerRetry(context: AttemptContext): CallsDecision {
    val failure = context.failed?.failure ?: AttemptFailure.Disconnected
    return refuse(context.callId, refusalFor(failure))
}

private fun refusalFor(failure: AttemptFailure): Refusal = when (failure) {
    AttemptFailure.TimedOut -> Refusal(RefusalReason.AnswerTooSlow, failure.execution)
    AttemptFailure.ConnectFailed,
    AttemptFailure.Shed,
    AttemptFailure.TargetDraining,
    AttemptFailure.NotSent
    -> Refusal(RefusalReason.NoTarget, failure.execution, RETRY_AFTER_NO_TARGET)
    AttemptFailure.Disconnected,
    AttemptFailure.InvalidAnswer
    -> Refusal(RefusalReason.TargetFailed, failure.execution)
}

private fun CallsState.countTruncated(context: AttemptContext): CallsDecision {
    val call = calls[context.callId] ?: return CallsDecision(this)
    val counter = CallCounter.Truncated(call.matched.service.id)
    return CallsDecision(this).emit(CallEffect.Count(counter))
}
