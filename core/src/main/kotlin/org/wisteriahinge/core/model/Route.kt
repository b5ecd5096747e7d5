package org.wisteriahinge.core.model

import java.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.toPersistentList

/**
 * What an operator allows one call.
 *
 * [maxTargets] is the greatest number of targets that one request may reach. [timeout] is the
 * longest time that the caller is kept waiting, [objective] the time within which an answer has
 * its full value. [priority] is the rank under load; 0 is the highest. Null means no bound.
 */
public data class CallBounds(
    val maxTargets: Int? = null,
    val timeout: Duration? = null,
    val objective: Duration? = null,
    val priority: Int = 0
) {
    public companion object {
        /** No bounds beyond those of the request and the instance. */
        public val None: CallBounds = CallBounds()
    }
}

/** A service that gets [weight] parts of a route's requests. */
public data class Backend(val service: ServiceId, val weight: Int)

/**
 * Requests for [host] below [pathPrefix], which callers may send without a credential.
 *
 * [pathPrefix] begins and ends with a slash. Requests are divided among [backends] by weight.
 */
public data class Route(
    val id: OperationId,
    val host: String,
    val pathPrefix: String,
    val backends: PersistentList<Backend>,
    val repeatability: Repeatability,
    val bounds: CallBounds
) {
    /** The route as the operation that its requests ask for. */
    public val operation: Operation = Operation(
        id = id,
        method = ANY_METHOD,
        path = PathTemplate(pathPrefix),
        repeatability = repeatability,
        workClass = WorkClass.Short,
        bounds = bounds
    )
}

private const val ANY_METHOD = "*"

/** The routes by host, the longest path prefix first. */
public data class RouteTable(private val byHost: PersistentMap<String, PersistentList<Route>>) {
    /** Whether there is no route. */
    public val isEmpty: Boolean get() = byHost.isEmpty()

    /** All routes. */
    public val routes: List<Route> get() = byHost.values.flatten()

    /** The route for [path] at [host], a `Host` header with or without a port; null for none. */
    public fun match(host: String, path: String): Route? {
        val name = host.substringBefore(':').lowercase()
        val plain = path.substringBefore('?')
        return byHost[name]?.firstOrNull { plain.startsWith(it.pathPrefix) }
    }

    public companion object {
        /** No routes. */
        public val Empty: RouteTable = RouteTable(persistentHashMapOf())

        /** The table of [routes]. */
        public fun of(routes: List<Route>): RouteTable {
            val grouped = routes.groupBy { it.host.lowercase() }
            return RouteTable(
                grouped.entries.fold(persistentHashMapOf()) { all, (host, list) ->
                    all.put(host, list.longestPrefixFirst())
                }
            )
        }

        private fun List<Route>.longestPrefixFirst(): PersistentList<Route> =
            sortedByDescending { it.pathPrefix.length }.toPersistentList()
    }
}
