package org.wisteriahinge.core.call

import java.time.Duration
import java.time.Instant
import org.wisteriahinge.core.handover.AttemptPath
import org.wisteriahinge.core.handover.HandoverPolicy
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

/** Retry delay when a fully loaded target rejected the request; its queue shortens within it. */
private val RETRY_AFTER_FULL: Duration = Duration.ofMillis(250)

/** Retry delay when a target with free slots rejected the request; another may accept it now. */
private val RETRY_AFTER_REJECTED: Duration = Duration.ofMillis(30)

/** Minimum time left before the deadline for another attempt to be answered. */
private val MIN_TIME_FOR_ATTEMPT: Duration = Duration.ofMillis(2)

/** Maximum number of attempts of a call from here that fail without reaching a target. */
internal const val MAX_UNREACHED_ATTEMPTS = 3

/** The same with those through other instances. */
private const val MAX_UNREACHED_WITH_HANDOVERS = 12

/** Whether [status] may be caused by one target, so that another one may succeed. */
internal fun isServerError(status: Int): Boolean = when (status) {
    500, 502, 503, 504 -> true
    else -> false
}

/** Whether [call] may get another attempt if one ends with [cause]. Withdraws no budget. */
internal fun CallsState.retryVerdictIfEnded(
    call: CallInProgress,
    cause: RetryCause,
    now: Instant
): RetryVerdict = retryVerdict(call.withEndedAttempt(cause, AttemptPath.Direct), cause, now)

/** Whether [call], which already counts the attempt that ended with [cause], may get another. */
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
    // If any attempt may have run an operation that may not be repeated, no other may follow.
    (call.mayHaveRun || !cause.isNotRun()) && !call.isRepeatable() -> RetryDenial.NotRepeatable
    !call.request.replayable -> RetryDenial.NotReplayable
    attemptsUsedUp(call) -> RetryDenial.AttemptsUsedUp
    cause.isTimeout() || now + MIN_TIME_FOR_ATTEMPT >= call.request.deadline ->
        RetryDenial.DeadlineTooClose
    isQuarantined(call, now) -> RetryDenial.Suspected
    identityOf(call).isErr -> RetryDenial.KeyNotAccepted
    else -> null
}

/** Attempts that reached no target do not count against the operation's maximum of targets. */
private fun CallsState.attemptsUsedUp(call: CallInProgress): Boolean {
    val bound = call.matched.operation.bounds.maxTargets
        ?: return call.attemptsStarted >= retries.settings.maxAttempts
    val maxUnreached = when (handover.policy) {
        HandoverPolicy.Off -> MAX_UNREACHED_ATTEMPTS
        is HandoverPolicy.ToInstances -> MAX_UNREACHED_WITH_HANDOVERS
    }
    return call.attemptsReceived >= bound || call.unreachedAttempts >= maxUnreached
}

/** The number of ended attempts that reached no target. */
internal val CallInProgress.unreachedAttempts: Int
    get() = attemptsStarted - attempts.size - attemptsReceived

/** The retry state after one more attempt of [call]; null if the budget does not allow it. */
private fun CallsState.withdrawRetry(call: CallInProgress, now: Instant): RetryState? =
    when (retries.settings.limit) {
        RetryLimit.TokenBucket -> retries.withdrawRetry(call.matched.service.id, now)
        // Until a request has reached a target, another attempt sends it for the first time.
        is RetryLimit.Window ->
            if (call.attemptsReceived == 0) {
                retries
            } else {
                retries.withdrawRetry(call.matched.service.id, now)
            }
    }

private fun CallsState.denialByState(call: CallInProgress, now: Instant): RetryDenial? = when {
    withdrawRetry(call, now) == null -> RetryDenial.BudgetSpent
    else -> when (chooseDestination(call, now)) {
        is Destination.AtTarget, is Destination.AtInstance -> null
        Destination.None, is Destination.RateLimited -> RetryDenial.NoOtherTarget
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

// An attempt times out at the deadline of its call, so no time is left, even if the clock that
// decides here is slightly behind.
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
    AttemptFailure.HandoverDeclined -> RetryReason.HandoverDeclined
    AttemptFailure.HandoverFailed -> RetryReason.HandoverFailed
}

/** Starts another attempt after one that was not answered, or refuses the call. */
internal fun CallsState.considerRetry(context: AttemptContext): CallsDecision {
    val call = calls[context.callId] ?: return CallsDecision(this)
    val cause = context.cause ?: RetryCause.Failure(AttemptFailure.Disconnected)
    val counted = call.withEndedAttempt(cause, context.attempt.path)
    if (call.attempts.isNotEmpty()) return CallsDecision(withCall(counted))
    return when (val verdict = retryVerdict(counted, cause, context.now)) {
        is RetryVerdict.Allowed -> withCall(counted).retry(counted, verdict, context.now)
        is RetryVerdict.Denied -> {
            val counter = CallCounter.RetryDenied(call.matched.service.id, verdict.denial)
            val denied = counted.withStep(TraceStep.NotRetried(context.now, verdict.denial))
            CallsDecision(withCall(denied)).emit(CallEffect.Count(counter))
                .then {
                    val refusal = counted.refusalAfter(cause, it.retryDelay(context))
                    it.refuse(context.callId, refusal, context.now)
                }
        }
    }
}

/** Counts the attempt by [path] that ended with [cause]. */
private fun CallInProgress.withEndedAttempt(cause: RetryCause, path: AttemptPath): CallInProgress =
    copy(
        mayHaveRun = mayHaveRun || !cause.isNotRun(),
        attemptsReceived = attemptsReceived + targetsReached(cause, path)
    )

/** The most targets that the ended attempt may have reached; another instance may use several. */
private fun CallInProgress.targetsReached(cause: RetryCause, path: AttemptPath): Int = when {
    !cause.mayHaveReachedTarget() -> 0
    path == AttemptPath.Direct || cause.isNotRun() -> 1
    else -> targetsLeft()?.coerceAtLeast(1) ?: 1
}

/** The targets that may be used besides those of the attempts so far; null if unlimited. */
internal fun CallInProgress.targetsLeft(): Int? =
    matched.operation.bounds.maxTargets?.let { it - attemptsReceived - attempts.size }

private fun RetryCause.mayHaveReachedTarget(): Boolean = when (this) {
    is RetryCause.Failure -> failure.mayHaveReachedTarget()
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
    val decision = CallsDecision(spent).emit(CallEffect.Count(counter))
    return when (val destination = spent.chooseDestination(call, now)) {
        is Destination.AtTarget -> decision.then { it.forward(call, destination.choice, now) }
        is Destination.AtInstance -> decision.then { it.handOver(call, destination, now) }
        Destination.None, is Destination.RateLimited -> refuse(
            call.request.callId,
            call.noTargetRefusal(RETRY_AFTER_FULL),
            now
        )
    }
}

/** If a target sheds despite free slots, the fault is its own, and other targets may accept. */
private fun CallsState.retryDelay(context: AttemptContext): Duration {
    val load = routing.targets[context.attempt.target.id]?.load ?: return RETRY_AFTER_REJECTED
    return if (load.inFlight < load.slots) RETRY_AFTER_REJECTED else RETRY_AFTER_FULL
}

/** The request is reported as not run only if no attempt can have run it. */
private fun CallInProgress.execution(): Execution =
    if (mayHaveRun) Execution.MayHaveRun else Execution.NotRun

/** [RefusalReason.NoTarget] states "not run", so an unknown outcome gets another reason. */
private fun CallInProgress.noTargetRefusal(retryAfter: Duration): Refusal = when (execution()) {
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
            AttemptFailure.NotSent,
            AttemptFailure.HandoverDeclined
            -> noTargetRefusal(retryAfter)
            AttemptFailure.Disconnected,
            AttemptFailure.HandoverFailed,
            AttemptFailure.Truncated,
            AttemptFailure.InvalidAnswer
            -> Refusal(RefusalReason.TargetFailed, execution())
        }
    }
