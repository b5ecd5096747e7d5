package org.wisteriahinge.core.model

import java.time.Instant
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentHashMap
import kotlinx.collections.immutable.toPersistentList

/** Whether an operation may run again when its outcome is unknown. */
public sealed interface Repeatability {
    /** Running it twice has the effect of running it once. */
    public data object Repeatable : Repeatability

    /** Its requests need an idempotency key and run at most once for each key. */
    public data object AtMostOnce : Repeatability

    /** Each request is separate work; it is not sent again once it may have run. */
    public data object OncePerRequest : Repeatability
}

/** Whether an operation occupies a slot for a short or a long time. */
public sealed interface WorkClass {
    public data object Short : WorkClass
    public data object Long : WorkClass
}

/** Address of a server: an IP address or host name, and a port. */
public data class Address(val host: String, val port: Int) {
    override fun toString(): String = "$host:$port"
}

/**
 * A backend server of one service, which runs up to [slots] requests at a time.
 *
 * It is expected to be slow until [coldUntil] after its start; null if unknown.
 */
public data class Target(
    val id: TargetId,
    val zone: Zone,
    val address: Address,
    val slots: Int,
    val coldUntil: Instant? = null,
    val startedAt: Instant? = null
)

/**
 * An operation that callers may request.
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
 * [probePath] is the path at which a target reports its load without queueing. A target accepts
 * [connectionsPerTarget] connections from all instances together; null if unknown.
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

/** The limits of a customer on a plan, over all instances of the deployment. */
public data class Allowance(
    val callsPerSecond: Double,
    val burstCalls: Int,
    val concurrentCalls: Int,
    val bytesPerSecond: Long,
    val burstBytes: Long
)

/**
 * The operations that the customers of a plan may use, and their limits.
 *
 * [weight] determines the fair share of the slots for short work under overload.
 */
public data class Plan(
    val id: PlanId,
    val allowance: Allowance,
    val operations: PersistentSet<OperationRef>,
    val weight: Int
)

/** The operators' list of services, plans and routes. */
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

    /** The operation for [method] and [path]; null if none matches. */
    public fun match(method: String, path: String): MatchedOperation? =
        index.find(listOf(method) + path.substringBefore('?').split('/'))

    /** These entitlements with the targets replaced by [listed]; services not in it have none. */
    internal fun withTargets(listed: ListedTargets): Entitlements = copy(
        services = services.values.fold(services) { all, service ->
            val targets = listed.byService[service.id] ?: persistentListOf()
            all.put(service.id, service.copy(targets = targets))
        }
    )
}

/** The targets of all services in a registry, which replace those in the operators' lists. */
public data class ListedTargets(val byService: PersistentMap<ServiceId, PersistentList<Target>>) {
    /** The targets outside of [zones]. */
    internal fun outside(zones: Set<Zone>): ListedTargets = if (zones.isEmpty()) {
        this
    } else {
        ListedTargets(
            byService.mapValues { (_, targets) -> targets.filter { it.zone !in zones } }
                .mapValues { (_, targets) -> targets.toPersistentList() }
                .toPersistentHashMap()
        )
    }
}

/** The operation that matches a request, and its service. */
public data class MatchedOperation(val service: Service, val operation: Operation) {
    val ref: OperationRef get() = OperationRef(service.id, operation.id)
}
