package org.wisteriahinge.core.call

import java.time.Instant
import kotlinx.collections.immutable.toPersistentList
import org.wisteriahinge.core.model.ServiceId
import org.wisteriahinge.core.model.TargetId
import org.wisteriahinge.core.ratelimit.RateLimitNotice
import org.wisteriahinge.core.ratelimit.RateLimitShare
import org.wisteriahinge.core.ratelimit.RateLimitStatus
import org.wisteriahinge.core.ratelimit.RateLimits

/** Announces the limits if some were dropped with their targets. */
internal fun CallsState.announceIfChanged(before: RateLimits): CallsDecision =
    if (routing.rateLimits.byTarget ==
        before.byTarget
    ) {
        CallsDecision(this)
    } else {
        announceRateLimits()
    }

internal fun CallsState.announceRateLimits(): CallsDecision = CallsDecision(this)
    .emit(CallEffect.NotifyRateLimit(RateLimitNotice.Changed(rateLimitStatuses())))
    .emit(CallEffect.RequestRateLimitShare(routing.rateLimits.byTarget.isNotEmpty()))

/** Applies the share of the rate limits that this instance may use from [now] on. */
internal fun CallsState.rateLimitShareChanged(share: RateLimitShare, now: Instant): CallsDecision {
    val limits = routing.rateLimits.withShare(share, now)
    val next = copy(routing = routing.copy(rateLimits = limits))
    val before = rateLimitStatuses()
    val after = next.rateLimitStatuses()
    if (before == after) return CallsDecision(next)
    return CallsDecision(next)
        .emit(CallEffect.NotifyRateLimit(RateLimitNotice.Changed(after)))
}

/** Probes one target of [service] whose limit was not confirmed for a while; it may be lifted. */
internal fun CallsState.checkRateLimit(service: ServiceId, now: Instant): CallsDecision {
    val members = routing.byService[service].orEmpty()
    val id = routing.rateLimits.firstUnchecked(members, now) ?: return CallsDecision(this)
    val view = routing.targets[id] ?: return CallsDecision(this)
    return copy(routing = routing.copy(rateLimits = routing.rateLimits.checked(id, now)))
        .sendProbe(view.target)
}

internal fun RateLimits.rateOf(target: TargetId): Double? = byTarget[target]?.requestsPerSecond

private fun CallsState.rateLimitStatuses() = routing.rateLimits.byTarget.entries
    .mapNotNull { (id, limit) ->
        routing.targets[id]?.let {
            RateLimitStatus(id, it.service, limit.requestsPerSecond, limit.ownPerSecond)
        }
    }
    .sortedBy { it.target.value }
    .toPersistentList()
