package org.wisteriahinge.core.call

import java.time.Duration
import java.time.Instant
import org.wisteriahinge.core.admission.closedTargets
import org.wisteriahinge.core.admission.observeLoad
import org.wisteriahinge.core.admission.observeShed
import org.wisteriahinge.core.admission.occupyPlace
import org.wisteriahinge.core.model.AttemptId
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.Execution
import org.wisteriahinge.core.model.Refusal
import org.wisteriahinge.core.model.RefusalReason
import org.wisteriahinge.core.model.WorkClass
import org.wisteriahinge.core.quarantine.crashed
import org.wisteriahinge.core.quarantine.isSuspected
import org.wisteriahinge.core.retry.RetryVerdict
import org.wisteriahinge.core.routing.AttemptResult
import org.wisteriahinge.core.routing.FailureAttribution
import org.wisteriahinge.core.routing.TargetChoice
import org.wisteriahinge.core.routing.TargetRequest

/** Delay told to callers when no target is available; a shorter wait finds another one. */
internal val RETRY_AFTER_NO_TARGET: Duration = Duration.ofMillis(250)

/** The target that an attempt of [call] needs; those tried before are left out. */
internal fun CallsState.routeRequest(call: CallInProgress, now: Instant): TargetRequest =
    TargetRequest(
        call.matched.service.id,
        call.matched.operation.workClass,
        call.tried.addAll(closedTargets(call, now)),
        call.request.bodyBytes ?: 0,
        call.roomAt
    )

/** Chooses a target for the first attempt of [call] and forwards it, or refuses without one. */
internal fun CallsState.startAttempt(call: CallInProgress, now: Instant): CallsDecision {
    val started = copy(retries = retries.callStarted(call.matched.service.id, now))
        .occupyPlace(call, now)
    return when (val choice = routing.choose(routeRequest(call, now), now)) {
        is TargetChoice.Chosen -> started.forward(call, choice, now)
        TargetChoice.NoTarget -> refuse(
            call.request.callId,
            Refusal(RefusalReason.NoTarget, Execution.NotRun, RETRY_AFTER_NO_TARGET),
            now
        )
    }
}

/** Sends a further or first attempt of [call] to the target of [choice]. */
internal fun CallsState.forward(
    call: CallInProgress,
    choice: TargetChoice.Chosen,
    now: Instant
): CallsDecision {
    val attempt = Attempt(
        id = AttemptId(lastAttemptId + 1),
        number = call.attemptsStarted + 1,
        target = choice.target,
        deadline = call.request.deadline,
        noRetry = call.attemptsStarted > 0 || !call.request.retriesAllowed,
        isRepeatable = call.isRepeatable()
    )
    val started = call.copy(
        attempts = call.attempts.put(
            attempt.id,
            AttemptInProgress(attempt, attemptChart.initial, now)
        ),
        attemptsStarted = attempt.number,
        tried = call.tried.add(choice.target.id)
    ).noted(CourseStep.Sent(now, attempt.number, routing.known(choice.target.id)))
    val next = copy(
        lastAttemptId = attempt.id.value,
        calls = calls.put(call.request.callId, started),
        routing = choice.routing.attemptStarted(
            attempt.id,
            choice.target.id,
            call.matched.operation.id,
            now
        ),
        admission = admission.attemptStarted(attempt, call.matched.operation.workClass)
    )
    return CallsDecision(next).emit(CallEffect.Forward(call.request.callId, attempt))
}

internal fun CallsState.attemptAnswered(event: CallEvent.Answered, now: Instant): CallsDecision {
    val call = calls[event.callId] ?: return CallsDecision(this)
    val inProgress = call.attempts[event.attemptId] ?: return CallsDecision(this)
    val result = AttemptResult.Answered(event.status, event.load)
    val counted = CallCounter.Answered(call.matched.service.id, event.status)
    val seen = copy(routing = routing.attemptResult(event.attemptId, result, now))
        .observeAnswerTime(call, inProgress, now)
        .observeLoad(call, event.load)
        .noteErrorAnswer(event, inProgress, now)
    val cause = RetryCause.ErrorAnswer
    val rejected = isServerError(event.status) && seen.canReplaceAnswer(call, cause, now)
    val trigger = if (rejected) AttemptTrigger.Rejected else AttemptTrigger.Answered
    return CallsDecision(seen)
        .emit(CallEffect.Count(counted))
        .then { it.stepAttempt(event.callId, event.attemptId, trigger, now, cause) }
}

private fun CallsState.noteErrorAnswer(
    event: CallEvent.Answered,
    inProgress: AttemptInProgress,
    now: Instant
): CallsState {
    val call = calls[event.callId] ?: return this
    if (!isServerError(event.status)) return this
    val target = inProgress.attempt.target.id
    return withCall(call.noted(CourseStep.ErrorAnswered(now, target, event.status)))
}

private fun CallsState.observeAnswerTime(
    call: CallInProgress,
    inProgress: AttemptInProgress,
    now: Instant
): CallsState = when (call.matched.operation.workClass) {
    WorkClass.Long -> this
    WorkClass.Short -> copy(
        retries = retries.answered(
            call.matched.service.id,
            Duration.between(inProgress.startedAt, now)
        )
    )
}

// An error answer is kept back only when another attempt certainly follows or is in progress.
private fun CallsState.canReplaceAnswer(
    call: CallInProgress,
    cause: RetryCause,
    now: Instant
): Boolean = call.attempts.size > 1 ||
    when (verdictIfEnded(call, cause, now)) {
        is RetryVerdict.Allowed -> true
        is RetryVerdict.Denied -> false
    }

internal fun CallsState.attemptFailed(event: CallEvent.AttemptFailed, now: Instant): CallsDecision {
    val call = calls[event.callId] ?: return CallsDecision(this)
    if (event.attemptId !in call.attempts) return CallsDecision(this)
    val attribution = if (event.failure.isCrash() && isSuspected(call, now)) {
        FailureAttribution.Request
    } else {
        FailureAttribution.Target
    }
    val result = AttemptResult.Failed(event.failure, event.load, attribution)
    val counted = CallCounter.AttemptFailed(call.matched.service.id, event.failure)
    return CallsDecision(copy(routing = routing.attemptResult(event.attemptId, result, now)))
        .emit(CallEffect.Count(counted))
        .then { if (showsCrash(call, event)) it.crashed(call, now) else CallsDecision(it) }
        .update { it.noteFailure(event, now) }
        .update { if (event.failure.isShed()) it.observeShed(call) else it }
        .then {
            val cause = RetryCause.Failure(event.failure)
            it.stepAttempt(event.callId, event.attemptId, AttemptTrigger.Failed, now, cause)
        }
}

// Callers of open routes have no identity, so that equal requests of different callers, whose
// answers were lost, would add up to a request that crashes servers.
private fun showsCrash(call: CallInProgress, event: CallEvent.AttemptFailed): Boolean =
    event.failure.isCrash() && !call.caller.isOpen

private fun CallsState.noteFailure(event: CallEvent.AttemptFailed, now: Instant): CallsState {
    val call = calls[event.callId] ?: return this
    val target = call.attempts[event.attemptId]?.attempt?.target ?: return this
    val mayHaveRun = call.mayHaveRun || event.failure.execution != Execution.NotRun
    return withCall(
        call.copy(
            request = call.request.copy(replayable = event.replayable),
            mayHaveRun = mayHaveRun
        ).noted(CourseStep.Failed(now, target.id, event.failure))
    )
}

/** Interprets [trigger] in the chart `call-attempt` and performs the actions it lists. */
internal fun CallsState.stepAttempt(
    callId: CallId,
    attemptId: AttemptId,
    trigger: AttemptTrigger,
    now: Instant,
    cause: RetryCause? = null
): CallsDecision {
    val inProgress = calls[callId]?.attempts?.get(attemptId) ?: return CallsDecision(this)
    val step = attemptChart.step(inProgress.state, trigger)
    val context = AttemptContext(callId, inProgress.attempt, cause, now)
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
    return withCall(call.copy(attempts = attempts))
}
