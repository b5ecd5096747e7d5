package org.wisteriahinge.core.call

import java.time.Duration
import java.time.Instant
import org.wisteriahinge.core.model.AttemptId
import org.wisteriahinge.core.model.RateLimitReport
import org.wisteriahinge.core.model.TargetId
import org.wisteriahinge.core.model.TargetStatement
import org.wisteriahinge.core.ratelimit.RateLimitNotice
import org.wisteriahinge.core.routing.leavingAnnounced

/** Longest pause that is kept; a target that wants none of an instance for longer is removed. */
private val MAX_PAUSE: Duration = Duration.ofMinutes(10)

/** Applies what the target says of itself in the answer behind [event]. */
internal fun CallsState.observeStatement(event: CallEvent, now: Instant): CallsDecision =
    when (event) {
        is CallEvent.Answered -> observe(targetOf(event.attemptId), event.statement, now)
        is CallEvent.AttemptFailed -> observe(targetOf(event.attemptId), event.statement, now)
        is CallEvent.LoadReported -> observe(event.targetId, event.statement, now)
        is CallEvent.ProbeFailed -> observe(event.target, event.statement, now)
        is CallEvent.Arrived,
        is CallEvent.Completed,
        is CallEvent.Truncated,
        is CallEvent.CallerGone,
        is CallEvent.CrashEvent,
        is CallEvent.PeerLoads,
        is CallEvent.QuotaEvent,
        is CallEvent.MembersChanged,
        is CallEvent.DutyDecision,
        is CallEvent.ClocksCompared,
        CallEvent.Ticked -> CallsDecision(this)
    }

private fun CallsState.targetOf(attempt: AttemptId): TargetId? = routing.attempts[attempt]?.target

private fun CallsState.observe(
    target: TargetId?,
    statement: TargetStatement?,
    now: Instant
): CallsDecision {
    if (target == null || statement == null || target !in routing.targets) {
        return CallsDecision(this)
    }
    return observeLeaving(target, statement, now).observePause(target, statement, now)
        .observeRateLimit(target, statement.rateLimit, now)
}

private fun CallsState.observeLeaving(
    target: TargetId,
    statement: TargetStatement,
    now: Instant
): CallsState =
    if (statement.isLeaving) copy(routing = routing.leavingAnnounced(target, now)) else this

private fun CallsState.observePause(
    target: TargetId,
    statement: TargetStatement,
    now: Instant
): CallsState {
    val pause = statement.pause ?: return this
    val limits = routing.rateLimits.paused(target, now + minOf(pause, MAX_PAUSE))
    return copy(routing = routing.copy(rateLimits = limits))
}

private fun CallsState.observeRateLimit(
    target: TargetId,
    report: RateLimitReport,
    now: Instant
): CallsDecision {
    val limits = routing.rateLimits.reported(target, report, now)
    val next = copy(routing = routing.copy(rateLimits = limits))
    val before = routing.rateLimits
    return when {
        report is RateLimitReport.Invalid -> {
            val notice = RateLimitNotice.Invalid(target, report.value)
            CallsDecision(next).emit(CallEffect.NotifyRateLimit(notice))
        }
        before.rateOf(target) == limits.rateOf(target) -> CallsDecision(next)
        else -> next.announceRateLimits()
    }
}
