package org.wisteriahinge.core.call

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.wisteriahinge.core.model.Entitlements
import org.wisteriahinge.core.model.Operation
import org.wisteriahinge.core.model.Repeatability
import org.wisteriahinge.core.model.ServiceId
import org.wisteriahinge.core.ratelimit.RequestUrgency

/**
 * The rank of a call where a service cannot take all: the lower [priority] value first, and of
 * equal ones those that may not be repeated, because their callers cannot simply ask again.
 */
public data class CallRank(val priority: Int, val isRepeatable: Boolean) : Comparable<CallRank> {
    override fun compareTo(other: CallRank): Int =
        compareValuesBy(this, other, CallRank::priority, CallRank::isRepeatable)
}

private val Operation.rank: CallRank
    get() = CallRank(
        bounds.priority,
        isRepeatable = when (repeatability) {
            Repeatability.Repeatable -> true
            Repeatability.AtMostOnce, Repeatability.OncePerRequest -> false
        }
    )

/** The rank of the most urgent operation or route of each service in [entitlements]. */
internal fun mostUrgentOf(entitlements: Entitlements): PersistentMap<ServiceId, CallRank> {
    val own = entitlements.services.values.flatMap { service ->
        service.operations.map { service.id to it.rank }
    }
    val routed = entitlements.routes.routes.flatMap { route ->
        route.backends.map { it.service to route.operation.rank }
    }
    return (own + routed).fold(persistentHashMapOf()) { all, (service, rank) ->
        val known = all[service]
        if (known == null || rank < known) all.put(service, rank) else all
    }
}

/** Whether [call] goes first at targets whose rate limit does not allow all calls. */
internal fun CallsState.urgencyOf(call: CallInProgress): RequestUrgency {
    val first = mostUrgent[call.matched.service.id] ?: return RequestUrgency.First
    val isFirst = call.matched.operation.rank <= first
    return if (isFirst) RequestUrgency.First else RequestUrgency.Later
}
