package org.wisteriahinge.adapters.lists

import org.wisteriahinge.core.model.PathTemplate

private val METHODS = setOf("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")
private val ADDRESS = Regex("[A-Za-z0-9._:\\[\\]-]{1,253}:[0-9]{1,5}")
private val SEGMENT = Regex("[A-Za-z0-9._~!$&'()*+,;=:@%-]+|\\{[A-Za-z0-9_-]+}")
private const val MAX_SLOTS = 1_000
private const val MAX_PORT = 65_535

/**
 * Validates the values in [list] and the references between its services, plans and routes, which
 * decoding does not check. Returns all faults found.
 */
internal fun entitlementFaults(list: LocatedList<EntitlementsDocument>): List<ListFault> {
    val services = list.content.services
    val plans = list.content.plans
    val serviceNames = services.mapIndexed { index, entry ->
        NamedEntry(entry.name, listOf("services", index, "name"))
    }
    val planNames = plans.mapIndexed { index, entry ->
        NamedEntry(entry.name, listOf("plans", index, "name"))
    }
    val targetNames = services.flatMapIndexed { index, service ->
        service.targets.mapIndexed { position, entry ->
            NamedEntry(entry.name, listOf("services", index, "targets", position, "name"))
        }
    }
    return list.nameFaults("service", serviceNames) +
        list.nameFaults("target", targetNames) +
        list.nameFaults("plan", planNames) +
        services.flatMapIndexed { index, service -> list.serviceFaults(index, service) } +
        list.overlapFaults(services) +
        list.planFaults(services, plans) +
        list.routeFaults()
}

private fun LocatedList<*>.serviceFaults(index: Int, service: ServiceEntry): List<ListFault> {
    val operationNames = service.operations.mapIndexed { position, entry ->
        NamedEntry(entry.name, listOf("services", index, "operations", position, "name"))
    }
    return nameFaults("operation", operationNames) +
        service.targets.flatMapIndexed { position, target ->
            targetFaults(index, position, target)
        } +
        service.operations.flatMapIndexed { position, operation ->
            operationFaults(index, position, operation)
        }
}

private fun LocatedList<*>.targetFaults(
    service: Int,
    position: Int,
    target: TargetEntry
): List<ListFault> {
    fun faultIn(field: String, problem: String) =
        fault("target '${target.name}' $problem", "services", service, "targets", position, field)
    val port = target.address.substringAfterLast(':').toIntOrNull()
    val addressIsValid = ADDRESS.matches(target.address) && port != null && port in 1..MAX_PORT
    return listOfNotNull(
        faultIn(
            "address",
            "has address '${target.address}'; expected host:port, port 1 to $MAX_PORT"
        )
            .takeIf { !addressIsValid },
        faultIn("slots", "has ${target.slots} slots; expected 1 to $MAX_SLOTS")
            .takeIf { target.slots !in 1..MAX_SLOTS },
        faultIn("zone", "has no zone; name the data centre").takeIf { target.zone.isBlank() }
    )
}

private fun LocatedList<*>.operationFaults(
    service: Int,
    position: Int,
    operation: OperationEntry
): List<ListFault> {
    fun faultIn(field: String, problem: String) = fault(
        "operation '${operation.name}' $problem",
        "services",
        service,
        "operations",
        position,
        field
    )
    val segments = operation.path.removePrefix("/").split('/')
    val pathIsValid = operation.path.startsWith('/') &&
        (operation.path == "/" || segments.all(SEGMENT::matches))
    return listOfNotNull(
        faultIn("method", "has method '${operation.method}'; use one of ${METHODS.joinToString()}")
            .takeIf { operation.method !in METHODS },
        faultIn("path", "has path '${operation.path}'; expected segments such as /results/{id}")
            .takeIf { !pathIsValid }
    )
}

private class IndexedOperation(val service: Int, val position: Int, val entry: OperationEntry) {
    val path = PathTemplate(entry.path)
}

/** A fault for each operation that is unreachable, because an earlier one matches its requests. */
private fun LocatedList<*>.overlapFaults(services: List<ServiceEntry>): List<ListFault> {
    val indexed = services.flatMapIndexed { service, entry ->
        entry.operations.mapIndexed { position, operation ->
            IndexedOperation(service, position, operation)
        }
    }
    // Only operations with the same method and number of segments can match the same request.
    val comparable = indexed.groupBy { it.entry.method to it.path.segmentCount }.values
    return comparable.flatMap { group ->
        group.flatMapIndexed { index, later ->
            group.take(index).filter { it.path.overlaps(later.path) }.map { earlier ->
                fault(
                    "operation '${services[later.service].name}/${later.entry.name}' matches the " +
                        "same requests as '${services[earlier.service].name}/" +
                        "${earlier.entry.name}' (${later.entry.method} ${earlier.entry.path}); " +
                        "change one path",
                    "services",
                    later.service,
                    "operations",
                    later.position,
                    "path"
                )
            }
        }
    }
}

private fun LocatedList<*>.planFaults(
    services: List<ServiceEntry>,
    plans: List<PlanEntry>
): List<ListFault> {
    val known = services.flatMap { service ->
        service.operations.map { "${service.name}/${it.name}" }
    }.toSet()
    return plans.flatMapIndexed { index, plan ->
        unknownOperationFaults(index, plan, known) + numberFaults(index, plan)
    }
}

private fun LocatedList<*>.unknownOperationFaults(index: Int, plan: PlanEntry, known: Set<String>) =
    plan.operations.mapIndexedNotNull { position, operation ->
        fault(
            "plan '${plan.name}' has unknown operation '$operation'; expected service/operation " +
                "as listed under services",
            "plans",
            index,
            "operations",
            position
        ).takeIf { operation !in known }
    }

private fun LocatedList<*>.numberFaults(index: Int, plan: PlanEntry): List<ListFault> {
    fun positive(field: String, value: Number) = fault(
        "plan '${plan.name}' has $field $value; expected a number above 0",
        "plans",
        index,
        field
    ).takeIf { !(value.toDouble() > 0 && value.toDouble().isFinite()) }
    return listOfNotNull(
        positive("calls_per_second", plan.callsPerSecond),
        positive("burst_calls", plan.burstCalls),
        positive("concurrent_calls", plan.concurrentCalls),
        positive("bytes_per_second", plan.bytesPerSecond),
        positive("burst_bytes", plan.burstBytes),
        positive("weight", plan.weight)
    )
}
