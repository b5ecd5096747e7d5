package org.wisteriahinge.core.call

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.wisteriahinge.core.model.Entitlements
import org.wisteriahinge.core.model.KeyedCustomers
import org.wisteriahinge.core.model.Operation
import org.wisteriahinge.core.model.Repeatability
import org.wisteriahinge.core.model.Route
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

private val Operation.rank: CallRank get() = rankWith(bounds.priority)

private fun Operation.rankWith(priority: Int) = CallRank(
    priority,
    isRepeatable = when (repeatability) {
        Repeatability.Repeatable -> true
        Repeatability.AtMostOnce, Repeatability.OncePerRequest -> false
    }
)

/**
 * The rank of the most urgent operation or route of each service in [entitlements]. The customers
 * that may use a route are all of [keyed], unless it is public.
 */
internal fun mostUrgentOf(
    entitlements: Entitlements,
    keyed: KeyedCustomers? = null
): PersistentMap<ServiceId, CallRank> {
    val own = entitlements.services.values.flatMap { service ->
        service.operations.map { service.id to it.rank }
    }
    val routed = entitlements.routes.routes.flatMap { route ->
        val rank = route.mostUrgentRank(keyed) ?: return@flatMap emptyList()
        route.backends.map { it.service to rank }
    }
    return (own + routed).fold(persistentHashMapOf()) { all, (service, rank) ->
        val known = all[service]
        if (known == null || rank < known) all.put(service, rank) else all
    }
}

/** The rank of the most urgent calls of a route; null if no customer may call it. */
private fun Route.mostUrgentRank(keyed: KeyedCustomers?): CallRank? {
    if (keyed == null || isPublic) return operation.rank
    return keyed.byId.values.filter { it.keys.isNotEmpty() }
        .minOfOrNull { operation.rankWith(it.priority ?: bounds.priority) }
}

/** Whether [call] goes first at targets whose rate limit does not allow all calls. */
internal fun CallsState.urgencyOf(call: CallInProgress): RequestUrgency {
    val first = mostUrgent[call.matched.service.id] ?: return RequestUrgency.First
    val isFirst = call.matched.operation.rank <= first
    return if (isFirst) RequestUrgency.First else RequestUrgency.Later
}
