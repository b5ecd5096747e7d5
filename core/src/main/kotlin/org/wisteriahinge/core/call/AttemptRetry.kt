package org.wisteriahinge.core.call

import java.time.Duration
import java.time.Instant
import org.wisteriahinge.core.model.Execution
import org.wisteriahinge.core.model.Refusal
import org.wisteriahinge.core.model.RefusalReason
import org.wisteriahinge.core.model.Repeatability
import org.wisteriahinge.core.quarantine.isQuarantined
import org.wisteriahinge.core.retry.RetryDenial
import org.wisteriahinge.core.retry.RetryLimit
import org.wisteriahinge.core.retry.RetryReason
import org.wisteriahinge.core.retry.RetryState
import org.wisteriahinge.core.retry.RetryVerdict
import org.wisteriahinge.core.routing.TargetChoice

/** Delay told to callers when a full target did not take the request; queues move on within it. */
private val RETRY_AFTER_FULL: Duration = Duration.ofMillis(250)

/** Delay told to callers when a target with free slots did not take it; another one may at once. */
private val RETRY_AFTER_REJECTED: Duration = Duration.ofMillis(30)

/** Least time before the deadline at which a further attempt can still bring an answer. */
private val MIN_TIME_FOR_ATTEMPT: Duration = Duration.ofMillis(2)

/** Attempts of a call that may fail before they reach a target. */
private const val MAX_MISSED_ATTEMPTS = 3

/** Whether [status] may be the fault of one target, so that another one may answer well. */
internal fun isServerError(status: Int): Boolean = when (status) {
    500, 502, 503, 504 -> true
    else -> false
}

/** Whether [call] may get a further attempt if one ends with [cause]. Spends nothing. */
internal fun CallsState.verdictIfEnded(
    call: CallInProgress,
    cause: RetryCause,
    now: Instant
): RetryVerdict = retryVerdict(call.after(cause), cause, now)

/** Whether [call], in which the attempt that ended with [cause] is counted, may get another. */
private fun CallsState.retryVerdict(
    call: CallInProgress,
    cause: RetryCause,
    now: Instant
): RetryVerdict {
    val denial = denialByCall(call, cause, now) ?: denialByState(call, now)
    return if (denial == null) {
        RetryVerdict.Allowed(cause.retryReason())
    } else {
        RetryVerdict.Denied(denial)
    }
}

private fun CallsState.denialByCall(
    call: CallInProgress,
    cause: RetryCause,
    now: Instant
): RetryDenial? = when {
    !call.request.retriesAllowed -> RetryDenial.OuterLayerRetries
    // An earlier attempt of an operation that may not be repeated rules out any further one.
    (call.mayHaveRun || !cause.isNotRun()) && !call.isRepeatable() -> RetryDenial.NotRepeatable
    !call.request.replayable -> RetryDenial.NotReplayable
    attemptsUsedUp(call) -> RetryDenial.AttemptsUsedUp
    cause.isTimeout() || now + MIN_TIME_FOR_ATTEMPT >= call.request.deadline ->
        RetryDenial.DeadlineTooClose
    isQuarantined(call, now) -> RetryDenial.Suspected
    else -> null
}

/** Attempts that reached no target do not count against the bound of an operation. */
private fun CallsState.attemptsUsedUp(call: CallInProgress): Boolean {
    val bound = call.matched.operation.bounds.maxTargets
        ?: return call.attemptsStarted >= retries.settings.maxAttempts
    val missed = call.attemptsStarted - call.arrivals
    return call.arrivals >= bound || missed >= MAX_MISSED_ATTEMPTS
}

/** The budgets after one more attempt of [call]; null when they do not allow it. */
private fun CallsState.withdrawRetry(call: CallInProgress, now: Instant): RetryState? =
    when (retries.settings.limit) {
        RetryLimit.Saved -> retries.withdrawRetry(call.matched.service.id, now)
        // A request that has reached no target is not repeated by another attempt.
        is RetryLimit.Window ->
            if (call.arrivals == 0) {
                retries
            } else {
                retries.withdrawRetry(call.matched.service.id, now)
            }
    }

private fun CallsState.denialByState(call: CallInProgress, now: Instant): RetryDenial? = when {
    withdrawRetry(call, now) == null -> RetryDenial.BudgetSpent
    else -> when (routing.choose(routeRequest(call, now), now)) {
        is TargetChoice.Chosen -> null
        TargetChoice.NoTarget -> RetryDenial.NoOtherTarget
    }
}

internal fun CallInProgress.isRepeatable(): Boolean = when (matched.operation.repeatability) {
    Repeatability.Repeatable -> true
    Repeatability.AtMostOnce, Repeatability.OncePerRequest -> false
}

private fun RetryCause.isNotRun(): Boolean = when (this) {
    is RetryCause.Failure -> failure.execution == Execution.NotRun
    RetryCause.ErrorAnswer -> false
}

// The deadline is the call's own, so that no time is left even if the clock is slightly behind.
private fun RetryCause.isTimeout(): Boolean =
    this is RetryCause.Failure && failure == AttemptFailure.TimedOut

private fun RetryCause.retryReason(): RetryReason = when (this) {
    is RetryCause.Failure -> failure.retryReason()
    RetryCause.ErrorAnswer -> RetryReason.ServerError
}

private fun AttemptFailure.retryReason(): RetryReason = when (this) {
    AttemptFailure.ConnectFailed -> RetryReason.ConnectFailed
    AttemptFailure.Shed -> RetryReason.Shed
    AttemptFailure.TargetDraining -> RetryReason.TargetDraining
    AttemptFailure.WrongTarget -> RetryReason.WrongTarget
    AttemptFailure.NotSent -> RetryReason.NotSent
    AttemptFailure.Disconnected, AttemptFailure.TimedOut -> RetryReason.Disconnected
    AttemptFailure.Truncated -> RetryReason.Truncated
    AttemptFailure.InvalidAnswer -> RetryReason.InvalidAnswer
}

/** Starts a further attempt after one that brought no answer, or refuses the call. */
internal fun CallsState.considerRetry(context: AttemptContext): CallsDecision {
    val call = calls[context.callId] ?: return CallsDecision(this)
    val cause = context.cause ?: RetryCause.Failure(AttemptFailure.Disconnected)
    val noted = call.after(cause)
    if (call.attempts.isNotEmpty()) return CallsDecision(withCall(noted))
    return when (val verdict = retryVerdict(noted, cause, context.now)) {
        is RetryVerdict.Allowed -> withCall(noted).retry(noted, verdict, context.now)
        is RetryVerdict.Denied -> {
            val counter = CallCounter.RetryDenied(call.matched.service.id, verdict.denial)
            val denied = noted.noted(CourseStep.NotRetried(context.now, verdict.denial))
            CallsDecision(withCall(denied)).emit(CallEffect.Count(counter))
                .then {
                    val refusal = noted.refusalAfter(cause, it.retryDelay(context))
                    it.refuse(context.callId, refusal, context.now)
                }
        }
    }
}

/** The call once the attempt that ended with [cause] is counted. */
private fun CallInProgress.after(cause: RetryCause): CallInProgress = copy(
    mayHaveRun = mayHaveRun || !cause.isNotRun(),
    arrivals = arrivals + if (cause.isArrival()) 1 else 0
)

private fun RetryCause.isArrival(): Boolean = when (this) {
    is RetryCause.Failure -> failure.isArrival()
    RetryCause.ErrorAnswer -> true
}

private fun CallsState.retry(
    call: CallInProgress,
    verdict: RetryVerdict.Allowed,
    now: Instant
): CallsDecision {
    val service = call.matched.service.id
    val counter = CallCounter.Retried(service, verdict.reason)
    val spent = copy(retries = withdrawRetry(call, now) ?: retries)
    return when (val choice = spent.routing.choose(routeRequest(call, now), now)) {
        is TargetChoice.Chosen ->
            CallsDecision(spent).emit(CallEffect.Count(counter))
                .then { it.forward(call, choice, now) }
        TargetChoice.NoTarget -> refuse(
            call.request.callId,
            call.notTaken(RETRY_AFTER_FULL),
            now
        )
    }
}

/** A target that sheds although it has free slots is at fault, and others are not. */
private fun CallsState.retryDelay(context: AttemptContext): Duration {
    val load = routing.targets[context.attempt.target.id]?.load ?: return RETRY_AFTER_REJECTED
    return if (load.inFlight < load.slots) RETRY_AFTER_REJECTED else RETRY_AFTER_FULL
}

/** Not run only when every attempt certainly did not run. */
private fun CallInProgress.execution(): Execution =
    if (mayHaveRun) Execution.MayHaveRun else Execution.NotRun

/** The status 503 states that the request did not run, so that an unknown outcome needs another. */
private fun CallInProgress.notTaken(retryAfter: Duration): Refusal = when (execution()) {
    Execution.NotRun -> Refusal(RefusalReason.NoTarget, Execution.NotRun, retryAfter)
    Execution.WasRun, Execution.MayHaveRun ->
        Refusal(RefusalReason.TargetFailed, Execution.MayHaveRun)
}

private fun CallInProgress.refusalAfter(cause: RetryCause, retryAfter: Duration): Refusal =
    when (cause) {
        RetryCause.ErrorAnswer -> Refusal(RefusalReason.TargetFailed, execution())
        is RetryCause.Failure -> when (cause.failure) {
            AttemptFailure.TimedOut -> Refusal(RefusalReason.AnswerTooSlow, execution())
            AttemptFailure.ConnectFailed,
            AttemptFailure.Shed,
            AttemptFailure.TargetDraining,
            AttemptFailure.WrongTarget,
            AttemptFailure.NotSent
            -> notTaken(retryAfter)
            AttemptFailure.Disconnected,
            AttemptFailure.Truncated,
            AttemptFailure.InvalidAnswer
            -> Refusal(RefusalReason.TargetFailed, execution())
        }
    }
