package org.wisteriahinge.core.call

import java.time.Instant
import kotlinx.collections.immutable.toPersistentList
import org.wisteriahinge.core.model.AttemptId
import org.wisteriahinge.core.model.RateLimitReport
import org.wisteriahinge.core.model.TargetId
import org.wisteriahinge.core.ratelimit.RateLimitNotice
import org.wisteriahinge.core.ratelimit.RateLimitStatus
import org.wisteriahinge.core.ratelimit.RateLimits

/** Updates the rate limit of a target by what the answer behind [event] says about it. */
internal fun CallsState.observeRateLimit(event: CallEvent, now: Instant): CallsDecision =
    when (event) {
        is CallEvent.Answered -> observe(targetOf(event.attemptId), event.rateLimit, now)
        is CallEvent.AttemptFailed -> observe(targetOf(event.attemptId), event.rateLimit, now)
        is CallEvent.LoadReported -> observe(event.targetId, event.rateLimit, now)
        is CallEvent.ProbeFailed -> observe(event.target, event.rateLimit, now)
        is CallEvent.Arrived,
        is CallEvent.Completed,
        is CallEvent.Truncated,
        is CallEvent.CallerGone,
        is CallEvent.QuarantineReported,
        is CallEvent.PeerLoads,
        is CallEvent.MembersChanged,
        is CallEvent.DutyDecision,
        CallEvent.Ticked -> CallsDecision(this)
    }

private fun CallsState.targetOf(attempt: AttemptId): TargetId? = routing.attempts[attempt]?.target

private fun CallsState.observe(
    target: TargetId?,
    report: RateLimitReport?,
    now: Instant
): CallsDecision {
    if (target == null || report == null || target !in routing.targets) return CallsDecision(this)
    val limits = routing.rateLimits.reported(target, report, now)
    val next = copy(routing = routing.copy(rateLimits = limits))
    val notice = next.noticeOf(target, report, before = routing.rateLimits)
    return notice?.let { CallsDecision(next).emit(CallEffect.NotifyRateLimit(it)) }
        ?: CallsDecision(next)
}

private fun CallsState.noticeOf(
    target: TargetId,
    report: RateLimitReport,
    before: RateLimits
): RateLimitNotice? = when {
    report is RateLimitReport.Invalid -> RateLimitNotice.Invalid(target, report.value)
    before.rateOf(target) != routing.rateLimits.rateOf(target) ->
        RateLimitNotice.Changed(rateLimitStatuses())
    else -> null
}

private fun RateLimits.rateOf(target: TargetId): Double? = byTarget[target]?.requestsPerSecond

internal fun CallsState.rateLimitStatuses() = routing.rateLimits.byTarget.entries
    .mapNotNull { (id, limit) ->
        routing.targets[id]?.let { RateLimitStatus(id, it.service, limit.requestsPerSecond) }
    }
    .sortedBy { it.target.value }
    .toPersistentList()
