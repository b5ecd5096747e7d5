package org.wisteriahinge.core.call

import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.toPersistentList
import org.wisteriahinge.core.model.Execution
import org.wisteriahinge.core.model.Refusal
import org.wisteriahinge.core.model.RefusalReason
import org.wisteriahinge.core.model.ServiceId
import org.wisteriahinge.core.model.TargetId
import org.wisteriahinge.core.routing.TargetChoice
import org.wisteriahinge.core.routing.withoutPermit

/** Longest time from the decision on a request to its sending, for a target with a rate limit. */
private val MAX_SEND_DELAY: Duration = Duration.ofMillis(250)

/** Bounds of the retry delay of calls that no target may take now. */
private val MIN_RETRY_DELAY: Duration = Duration.ofMillis(50)
private val MAX_RETRY_DELAY: Duration = Duration.ofSeconds(2)

/** The time by which a request must be sent to [target]; null if it has no rate limit. */
internal fun CallsState.sendBy(target: TargetId, now: Instant): Instant? =
    if (routing.rateLimits.restricts(target)) now + MAX_SEND_DELAY else null

/** Refuses [call] until this instance may send a request to one of the targets. */
internal fun CallsState.refuseAtRateLimit(
    call: CallInProgress,
    choice: TargetChoice.RateLimited,
    now: Instant
): CallsDecision {
    val service = call.matched.service.id
    val limited = routing.withoutPermit(routeRequest(call, now), now).sortedBy { it.value }
        .mapNotNull { id -> routing.rateLimits.byTarget[id]?.let { id to it } }
        .map { (id, limit) -> LimitSnapshot(id, limit.requestsPerSecond, limit.ownPerSecond) }
        .toPersistentList()
    val delay = choice.nextPermitAt?.let { Duration.between(now, it) } ?: RETRY_AFTER_NO_TARGET
    val bounded = delay.coerceIn(MIN_RETRY_DELAY, MAX_RETRY_DELAY)
    val refusal = Refusal(RefusalReason.TargetsAtRateLimit, Execution.NotRun, bounded)
    val counter = CallCounter.RateLimited(service, RateLimitOutcome.Refused)
    return CallsDecision(withCall(call.withStep(TraceStep.AtRateLimit(now, limited))))
        .emit(CallEffect.Count(counter))
        .then { it.refuse(call.request.callId, refusal, now) }
}

/** Counts a request that did not go to one of [count] targets because of their rate limits. */
internal fun CallsDecision.countPassedOver(service: ServiceId, count: Int): CallsDecision {
    if (count == 0) return this
    return emit(CallEffect.Count(CallCounter.RateLimited(service, RateLimitOutcome.PassedOver)))
}
