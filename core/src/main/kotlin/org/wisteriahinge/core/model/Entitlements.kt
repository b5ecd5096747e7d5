package org.wisteriahinge.core.model

import java.time.Instant
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf

/** Whether an operation may run again when its outcome is unknown. */
public sealed interface Repeatability {
    /** Running it twice has the effect of running it once. */
    public data object Repeatable : Repeatability

    /** It needs an idempotency key and runs at most once. */
    public data object AtMostOnce : Repeatability

    /** Each request is work of its own; it is not sent again once it may have run. */
    public data object OncePerRequest : Repeatability
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

/**
 * A backend server that serves one service. It runs [slots] requests at a time.
 *
 * It is slow after its start until [coldUntil]; null when nothing says so.
 */
public data class Target(
    val id: TargetId,
    val zone: Zone,
    val address: Address,
    val slots: Int,
    val coldUntil: Instant? = null
)

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
    val workClass: WorkClass,
    val bounds: CallBounds = CallBounds.None
)

/**
 * A service with its targets and operations.
 *
 * [probePath] is the path at its targets that answers with their load at once. A target accepts
 * [connectionsPerTarget] connections from all instances together; null when nothing says so.
 */
public data class Service(
    val id: ServiceId,
    val targets: PersistentList<Target>,
    val operations: PersistentList<Operation>,
    val probePath: String = DEFAULT_PROBE_PATH,
    val connectionsPerTarget: Int? = null
)

private const val DEFAULT_PROBE_PATH = "/load"

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
    val plans: PersistentMap<PlanId, Plan>,
    val routes: RouteTable = RouteTable.Empty
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

    /** The same services with the targets in [listed]; a service that is not listed has none. */
    internal fun withTargets(listed: ListedTargets): Entitlements = copy(
        services = services.values.fold(services) { all, service ->
            val targets = listed.byService[service.id] ?: persistentListOf()
            all.put(service.id, service.copy(targets = targets))
        }
    )
}

/** The targets of all services as a registry lists them, apart from the operators' lists. */
public data class ListedTargets(val byService: PersistentMap<ServiceId, PersistentList<Target>>)

/** An operation found for a request, with its service. */
public data class MatchedOperation(val service: Service, val operation: Operation) {
    val ref: OperationRef get() = OperationRef(service.id, operation.id)
}
