package org.wisteriahinge.core.call

import com.github.michaelbull.result.getError
import java.time.Duration
import java.time.Instant
import org.wisteriahinge.core.admission.acquirePermit
import org.wisteriahinge.core.admission.excludedTargets
import org.wisteriahinge.core.admission.observeLoad
import org.wisteriahinge.core.admission.observeShed
import org.wisteriahinge.core.handover.AttemptPath
import org.wisteriahinge.core.handover.tryPath
import org.wisteriahinge.core.model.AttemptId
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.Execution
import org.wisteriahinge.core.model.Refusal
import org.wisteriahinge.core.model.RefusalReason
import org.wisteriahinge.core.model.WorkClass
import org.wisteriahinge.core.quarantine.connectionBroke
import org.wisteriahinge.core.quarantine.isPossibleAfter
import org.wisteriahinge.core.quarantine.isSuspected
import org.wisteriahinge.core.quarantine.refusalIfQuarantined
import org.wisteriahinge.core.retry.RetryVerdict
import org.wisteriahinge.core.routing.AttemptResult
import org.wisteriahinge.core.routing.FailureAttribution
import org.wisteriahinge.core.routing.TargetChoice
import org.wisteriahinge.core.routing.TargetRequest
import org.wisteriahinge.core.routing.withoutPermit

/** Retry delay when no target is available; one usually becomes available within it. */
internal val RETRY_AFTER_NO_TARGET: Duration = Duration.ofMillis(250)

/** Describes the target needed for an attempt of [call], excluding targets tried before. */
internal fun CallsState.routeRequest(call: CallInProgress, now: Instant): TargetRequest =
    TargetRequest(
        call.matched.service.id,
        call.matched.operation.workClass,
        call.triedTargets.addAll(excludedTargets(call, now)),
        call.request.bodyBytes ?: 0,
        call.targetsWithCapacity,
        urgencyOf(call)
    )

/** Starts the first attempt of [call], or refuses the call if no target is available. */
internal fun CallsState.startAttempt(call: CallInProgress, now: Instant): CallsDecision {
    // A call that waited for a target may have been quarantined since it arrived.
    refusalIfQuarantined(call, now)?.let { return refuse(call.request.callId, it, now) }
    identityOf(call).getError()?.let { return refuse(call.request.callId, it.refusal(), now) }
    val service = call.matched.service.id
    val started = countStart(call, now).acquirePermit(call, now)
    return when (val destination = chooseDestination(call, now)) {
        is Destination.AtTarget -> started.forward(call, destination.choice, now)
        is Destination.AtInstance -> started.handOver(call, destination, now)
        Destination.None -> refuse(
            call.request.callId,
            Refusal(RefusalReason.NoTarget, Execution.NotRun, RETRY_AFTER_NO_TARGET),
            now
        )
        is Destination.RateLimited -> refuseAtRateLimit(call, destination.choice, now)
    }.then { it.tryPath(service, now) }
}

/** A call that was handed over counts towards the retry budget of the instance it came from. */
private fun CallsState.countStart(call: CallInProgress, now: Instant): CallsState =
    if (call.request.handover == null) {
        copy(retries = retries.callStarted(call.matched.service.id, now))
    } else {
        this
    }

/** Sends the next attempt of [call] to the target of [choice]. */
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
        isRepeatable = call.isRepeatable(),
        sendBy = sendBy(choice.target.id, now),
        identity = identityOrAnonymous(call)
    )
    val passedOver = routing.withoutPermit(routeRequest(call, now), now).size
    val step =
        TraceStep.Sent(now, attempt.number, routing.snapshotOf(choice.target.id), passedOver)
    return copy(routing = choice.routing).launch(call, attempt, step, now)
        .countPassedOver(call.matched.service.id, passedOver)
}

/** Records the start of [attempt] and sends it. */
internal fun CallsState.launch(
    call: CallInProgress,
    attempt: Attempt,
    step: TraceStep,
    now: Instant
): CallsDecision {
    val operation = call.matched.operation
    val started = call.copy(
        attempts = call.attempts.put(
            attempt.id,
            AttemptInProgress(attempt, attemptChart.initial, now)
        ),
        attemptsStarted = attempt.number,
        triedTargets = call.triedTargets.add(attempt.target.id)
    ).withStep(step)
    val next = copy(
        lastAttemptId = attempt.id.value,
        calls = calls.put(call.request.callId, started),
        routing = routing.attemptStarted(attempt.id, attempt.target.id, operation.id, now),
        admission = admission.attemptStarted(attempt, operation.workClass)
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
        .observeHandoverAnswer(call, inProgress.attempt)
        .recordErrorAnswer(event, inProgress, now)
    val rejected = isServerError(event.status) &&
        seen.canReplaceAnswer(call, inProgress.attempt, now)
    val trigger = if (rejected) AttemptTrigger.Rejected else AttemptTrigger.Answered
    return CallsDecision(seen)
        .emit(CallEffect.Count(counted))
        .then {
            it.stepAttempt(event.callId, event.attemptId, trigger, now, RetryCause.ErrorAnswer)
        }
}

private fun CallsState.recordErrorAnswer(
    event: CallEvent.Answered,
    inProgress: AttemptInProgress,
    now: Instant
): CallsState {
    val call = calls[event.callId] ?: return this
    if (!isServerError(event.status)) return this
    val target = inProgress.attempt.target.id
    return withCall(call.withStep(TraceStep.ErrorAnswered(now, target, event.status)))
}

private fun CallsState.observeAnswerTime(
    call: CallInProgress,
    inProgress: AttemptInProgress,
    now: Instant
): CallsState = when (call.matched.operation.workClass) {
    WorkClass.Long -> this
    WorkClass.Short -> copy(
        retries = retries.observeAnswerTime(
            call.matched.service.id,
            Duration.between(inProgress.startedAt, now)
        )
    )
}

// An error answer is withheld only if another attempt is in progress or will certainly follow.
private fun CallsState.canReplaceAnswer(
    call: CallInProgress,
    attempt: Attempt,
    now: Instant
): Boolean = call.attempts.size > 1 ||
    when (attempt.path) {
        AttemptPath.Direct -> retryVerdictIfEnded(call, RetryCause.ErrorAnswer, now).isAllowed()
        // The other instance has decided on retries already.
        is AttemptPath.ThroughInstance -> false
    }

private fun RetryVerdict.isAllowed(): Boolean = when (this) {
    is RetryVerdict.Allowed -> true
    is RetryVerdict.Denied -> false
}

internal fun CallsState.attemptFailed(event: CallEvent.AttemptFailed, now: Instant): CallsDecision {
    val call = calls[event.callId] ?: return CallsDecision(this)
    if (event.attemptId !in call.attempts) return CallsDecision(this)
    val attribution = if (event.failure.mayBeCrash() && isSuspected(call, now)) {
        FailureAttribution.Request
    } else {
        FailureAttribution.Target
    }
    val result = AttemptResult.Failed(event.failure, event.load, attribution)
    val counted = CallCounter.AttemptFailed(call.matched.service.id, event.failure)
    return CallsDecision(copy(routing = routing.attemptResult(event.attemptId, result, now)))
        .emit(CallEffect.Count(counted))
        .update { it.observeHandover(call, event, now) }
        .then { it.observeCrash(call, event, now) }
        .update { it.recordFailure(event, now) }
        .update { if (event.failure.isShed()) it.observeShed(call) else it }
        .then {
            val cause = RetryCause.Failure(event.failure)
            it.stepAttempt(event.callId, event.attemptId, AttemptTrigger.Failed, now, cause)
        }
}

private fun CallsState.observeCrash(
    call: CallInProgress,
    event: CallEvent.AttemptFailed,
    now: Instant
): CallsDecision {
    val attempt = call.attempts[event.attemptId]?.attempt ?: return CallsDecision(this)
    if (!quarantine.settings.evidence.isPossibleAfter(event.failure)) return CallsDecision(this)
    return when (attempt.path) {
        AttemptPath.Direct -> connectionBroke(call, attempt.target, now)
        // The instance that sent the request counts crashes of its target.
        is AttemptPath.ThroughInstance -> CallsDecision(this)
    }
}

private fun CallsState.recordFailure(event: CallEvent.AttemptFailed, now: Instant): CallsState {
    val call = calls[event.callId] ?: return this
    val target = call.attempts[event.attemptId]?.attempt?.target ?: return this
    val mayHaveRun = call.mayHaveRun || event.failure.execution != Execution.NotRun
    return withCall(
        call.copy(
            request = call.request.copy(replayable = event.replayable),
            mayHaveRun = mayHaveRun
        ).withStep(TraceStep.Failed(now, target.id, event.failure))
    )
}

/** Applies [trigger] in the chart `call-attempt` and performs the actions of the transition. */
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
