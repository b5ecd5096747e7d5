package org.wisteriahinge.adapters.lists

private val HOST = Regex("[a-z0-9.-]{1,253}")
private val PREFIX = Regex("/|/([A-Za-z0-9._~!$&'()*+,;=:@%-]+/)+")

/**
 * Validates the values in the routes and their references to services, which decoding does not
 * check. Returns all faults found.
 */
internal fun LocatedList<EntitlementsDocument>.routeFaults(): List<ListFault> {
    val routes = content.routes
    val services = content.services.map { it.name }.toSet()
    val names = routes.mapIndexed { index, entry ->
        NamedEntry(entry.name, listOf("routes", index, "name"))
    }
    return nameFaults("route", names) +
        routes.flatMapIndexed { index, route -> fieldFaults(index, route) } +
        routes.flatMapIndexed { index, route -> backendFaults(index, route, services) } +
        duplicateRouteFaults(routes)
}

private fun LocatedList<*>.fieldFaults(index: Int, route: RouteEntry): List<ListFault> {
    fun faultIn(field: String, problem: String) =
        fault("route '${route.name}' $problem", "routes", index, field)
    fun positive(field: String, value: Number?) =
        faultIn(field, "has $field $value; expected a number above 0").takeIf {
            value != null && value.toLong() <= 0
        }
    return listOfNotNull(
        faultIn("host", "has host '${route.host}'; expected a name in lower case without a port")
            .takeIf { !HOST.matches(route.host) },
        faultIn(
            "path_prefix",
            "has path_prefix '${route.pathPrefix}'; begin and end it with a slash"
        )
            .takeIf { !PREFIX.matches(route.pathPrefix) },
        positive("max_targets", route.maxTargets),
        positive("timeout_ms", route.timeoutMillis),
        positive("objective_ms", route.objectiveMillis),
        faultIn("priority", "has priority ${route.priority}; expected 0, the highest, or more")
            .takeIf { route.priority < 0 }
    )
}

private fun LocatedList<*>.backendFaults(
    index: Int,
    route: RouteEntry,
    services: Set<String>
): List<ListFault> {
    val none = fault("route '${route.name}' has no backend with a weight", "routes", index)
        .takeIf { route.backends.sumOf { it.weight } <= 0 }
    return listOfNotNull(none) + route.backends.flatMapIndexed { position, backend ->
        fun faultIn(field: String, problem: String) =
            fault("route '${route.name}' $problem", "routes", index, "backends", position, field)
        listOfNotNull(
            faultIn("service", "has unknown service '${backend.service}'; list it under services")
                .takeIf { backend.service !in services },
            faultIn("weight", "has weight ${backend.weight}; expected 0 or more")
                .takeIf { backend.weight < 0 }
        )
    }
}

/** A fault for each unreachable route, because an earlier one has the same host and prefix. */
private fun LocatedList<*>.duplicateRouteFaults(routes: List<RouteEntry>): List<ListFault> =
    routes.mapIndexedNotNull { index, later ->
        val earlier = routes.take(index)
            .firstOrNull { it.host == later.host && it.pathPrefix == later.pathPrefix }
        earlier?.let {
            fault(
                "route '${later.name}' has the host and path_prefix of route '${it.name}'; " +
                    "change one",
                "routes",
                index,
                "path_prefix"
            )
        }
    }
