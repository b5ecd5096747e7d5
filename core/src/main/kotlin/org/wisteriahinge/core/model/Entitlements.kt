package org.wisteriahinge.core.model

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet

/** Whether an operation may run again when its outcome is unknown. */
public sealed interface Repeatability {
    /** Running it twice has the effect of running it once. */
    public data object Repeatable : Repeatability

    /** It needs an idempotency key and runs at most once. */
    public data object AtMostOnce : Repeatability
}

/** How long an operation is expected to occupy a slot. */
public sealed interface WorkClass {
    public data object Short : WorkClass
    public data object Long : WorkClass
}

/** Address of a server as an IP number or name with a port. */
public data class Address(val host: String, val port: Int) {
    override fun toString(): String = "$host:$port"
}

/** A backend server that serves one service. It runs [slots] requests at a time. */
public data class Target(val id: TargetId, val zone: Zone, val address: Address, val slots: Int)

/**
 * An operation that callers may ask for.
 *
 * [path] matches a request path by segment; a segment in braces matches any one segment.
 */
public data class Operation(
    val id: OperationId,
    val method: String,
    val path: PathTemplate,
    val repeatability: Repeatability,
    val workClass: WorkClass
)

/** A service with its targets and operations. */
public data class Service(
    val id: ServiceId,
    val targets: PersistentList<Target>,
    val operations: PersistentList<Operation>
)

/** An operation together with its service. */
public data class OperationRef(val service: ServiceId, val operation: OperationId)

/** What a customer on a plan may take, over the whole deployment. */
public data class Allowance(
    val callsPerSecond: Double,
    val burstCalls: Int,
    val concurrentCalls: Int,
    val bytesPerSecond: Long,
    val burstBytes: Long
)

/** A plan: what its customers may use and how much. [weight] sets fair shares of short slots. */
public data class Plan(
    val id: PlanId,
    val allowance: Allowance,
    val operations: PersistentSet<OperationRef>,
    val weight: Int
)

/** The second of the operators' two lists: the services and what each plan may use. */
public data class Entitlements(
    val services: PersistentMap<ServiceId, Service>,
    val plans: PersistentMap<PlanId, Plan>
) {
    private val index: PathIndex = services.values.fold(PathIndex()) { all, service ->
        service.operations.fold(all) { index, operation ->
            index.add(
                listOf(operation.method) + operation.path.segments,
                MatchedOperation(service, operation)
            )
        }
    }

    /** The operation that serves [method] and [path]; null when none matches. */
    public fun match(method: String, path: String): MatchedOperation? =
        index.find(listOf(method) + path.substringBefore('?').split('/'))
}

/** An operation found for a request, with its service. */
public data class MatchedOperation(val service: Service, val operation: Operation) {
    val ref: OperationRef get() = OperationRef(service.id, operation.id)
}
