package org.wisteriahinge.core.call

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.toPersistentList
import org.wisteriahinge.core.model.Entitlements
import org.wisteriahinge.core.model.KeyedCustomers
import org.wisteriahinge.core.model.Operation
import org.wisteriahinge.core.model.Repeatability
import org.wisteriahinge.core.model.Route
import org.wisteriahinge.core.model.ServiceId
import org.wisteriahinge.core.ratelimit.RequestUrgency

/** Ranks beyond this one are treated alike where room is short. */
private const val MAX_URGENCY_STEP = 2

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
 * The ranks of the operations and routes of each service in [entitlements], most urgent first. The
 * customers that may use a route are all of [keyed], unless it is public.
 */
internal fun ranksOf(
    entitlements: Entitlements,
    keyed: KeyedCustomers?
): PersistentMap<ServiceId, PersistentList<CallRank>> {
    val own = entitlements.services.values.flatMap { service ->
        service.operations.map { service.id to it.rank }
    }
    val routed = entitlements.routes.routes.flatMap { route ->
        val ranks = route.ranks(keyed)
        route.backends.flatMap { backend -> ranks.map { backend.service to it } }
    }
    return (own + routed).groupBy({ it.first }, { it.second }).entries
        .fold(persistentHashMapOf()) { all, (service, ranks) ->
            all.put(service, ranks.distinct().sorted().toPersistentList())
        }
}

/** The ranks that the calls of a route may have. */
private fun Route.ranks(keyed: KeyedCustomers?): List<CallRank> {
    if (keyed == null || isPublic) return listOf(operation.rank)
    return keyed.byId.values.filter { it.keys.isNotEmpty() }
        .map { it.priority ?: bounds.priority }
        .distinct()
        .map { operation.rankWith(it) }
}

/** Whether [call] goes first at targets whose rate limit does not allow all calls. */
internal fun CallsState.urgencyOf(call: CallInProgress): RequestUrgency {
    val first = ranks[call.matched.service.id]?.firstOrNull() ?: return RequestUrgency.First
    val isFirst = call.matched.operation.rank <= first
    return if (isFirst) RequestUrgency.First else RequestUrgency.Later
}

/** How many ranks of its service are more urgent than [call], up to [MAX_URGENCY_STEP]. */
internal fun CallsState.urgencyStep(call: CallInProgress): Int {
    val own = call.matched.operation.rank
    return ranks[call.matched.service.id].orEmpty().count { it < own }
        .coerceAtMost(MAX_URGENCY_STEP)
}

/** Whether no rank of its service is less urgent than [call]. */
internal fun CallsState.isLeastUrgent(call: CallInProgress): Boolean {
    val own = call.matched.operation.rank
    return ranks[call.matched.service.id].orEmpty().none { it > own }
}
