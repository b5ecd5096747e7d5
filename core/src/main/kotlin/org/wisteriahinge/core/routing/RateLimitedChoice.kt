package org.wisteriahinge.core.routing

import java.time.Instant
import org.wisteriahinge.core.model.TargetId

/** The targets that [request] must not go to because of their rate limits. */
internal fun RoutingState.withoutPermit(request: TargetRequest, now: Instant): List<TargetId> =
    rateLimits.restricted.filter { id ->
        targets[id]?.service == request.service && id !in request.exclude &&
            !rateLimits.permits(id, request.urgency, now)
    }

/** Why none of the targets in [all] can be chosen for [request]. */
internal fun RoutingState.noneOf(
    request: TargetRequest,
    all: List<TargetId>,
    now: Instant
): TargetChoice {
    val limited = withoutPermit(request, now).filter { it in all }
    if (limited.isEmpty()) return TargetChoice.NoTarget
    return TargetChoice.RateLimited(rateLimits.nextPermitAt(limited, request.urgency, now))
}
