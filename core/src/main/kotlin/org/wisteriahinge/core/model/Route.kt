package org.wisteriahinge.core.model

import java.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.toPersistentList

/**
 * The limits and the priority of a call to an operation or route. Null means no limit.
 *
 * [maxTargets] is the largest number of targets that one request may be sent to. [timeout] is the
 * longest time that the caller waits, and [objective] the latency objective within which answers
 * should arrive. Under overload, calls with a lower [priority] value are preferred; 0 is highest.
 */
public data class CallBounds(
    val maxTargets: Int? = null,
    val timeout: Duration? = null,
    val objective: Duration? = null,
    val priority: Int = 0
) {
    public companion object {
        /** No limits beyond those of the request and the instance. */
        public val None: CallBounds = CallBounds()
    }
}

/** A service that gets a part of a route's requests in proportion to [weight]. */
public data class Backend(val service: ServiceId, val weight: Int)

/**
 * An open route: requests for [host] below [pathPrefix] need no credential.
 *
 * [pathPrefix] begins and ends with a slash. Requests are divided among [backends] by weight. Where
 * the configuration lists keyed customers, a request needs an API key unless the route [isPublic].
 */
public data class Route(
    val id: OperationId,
    val host: String,
    val pathPrefix: String,
    val backends: PersistentList<Backend>,
    val repeatability: Repeatability,
    val bounds: CallBounds,
    val isPublic: Boolean = false
) {
    /** The operation that represents this route in decisions on calls. */
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

/** The routes of each host, longest path prefix first. */
public data class RouteTable(private val byHost: PersistentMap<String, PersistentList<Route>>) {
    /** Whether there is no route. */
    public val isEmpty: Boolean get() = byHost.isEmpty()

    /** All routes. */
    public val routes: List<Route> get() = byHost.values.flatten()

    /**
     * The route with the longest matching prefix for [path] at [host]; null if none matches.
     *
     * [host] is the value of a `Host` header, with or without a port.
     */
    public fun match(host: String, path: String): Route? {
        val name = host.substringBefore(':').lowercase()
        val pathOnly = path.substringBefore('?')
        return byHost[name]?.firstOrNull { pathOnly.startsWith(it.pathPrefix) }
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
