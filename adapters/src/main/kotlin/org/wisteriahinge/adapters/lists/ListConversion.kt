package org.wisteriahinge.adapters.lists

import java.time.Duration
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentSet
import org.wisteriahinge.core.model.Address
import org.wisteriahinge.core.model.Allowance
import org.wisteriahinge.core.model.Backend
import org.wisteriahinge.core.model.CallBounds
import org.wisteriahinge.core.model.Credential
import org.wisteriahinge.core.model.CredentialId
import org.wisteriahinge.core.model.Customer
import org.wisteriahinge.core.model.CustomerId
import org.wisteriahinge.core.model.Customers
import org.wisteriahinge.core.model.Entitlements
import org.wisteriahinge.core.model.Operation
import org.wisteriahinge.core.model.OperationId
import org.wisteriahinge.core.model.OperationRef
import org.wisteriahinge.core.model.PathTemplate
import org.wisteriahinge.core.model.Plan
import org.wisteriahinge.core.model.PlanId
import org.wisteriahinge.core.model.Repeatability
import org.wisteriahinge.core.model.Route
import org.wisteriahinge.core.model.RouteTable
import org.wisteriahinge.core.model.Service
import org.wisteriahinge.core.model.ServiceId
import org.wisteriahinge.core.model.Standing
import org.wisteriahinge.core.model.Target
import org.wisteriahinge.core.model.TargetId
import org.wisteriahinge.core.model.WorkClass
import org.wisteriahinge.core.model.Zone

/** Converts a document without faults to the model. */
internal fun CustomersDocument.toModel(): Customers =
    Customers(customers.map { it.toModel() }.indexedBy { it.id })

private fun CustomerEntry.toModel() = Customer(
    id = CustomerId(name),
    plan = PlanId(plan),
    credentials = credentials.map {
        Credential(CredentialId(it.id), it.keyedHash, it.standing.toModel())
    }.toPersistentList(),
    standing = standing.toModel()
)

private fun StandingEntry.toModel(): Standing = when (this) {
    StandingEntry.Active -> Standing.Active
    StandingEntry.Revoked -> Standing.Revoked
}

/** Converts a document without faults to the model. */
internal fun EntitlementsDocument.toModel(): Entitlements = Entitlements(
    services = services.map { it.toModel() }.indexedBy { it.id },
    plans = plans.map { it.toModel() }.indexedBy { it.id },
    routes = RouteTable.of(routes.map { it.toModel() })
)

private fun ServiceEntry.toModel() = Service(
    id = ServiceId(name),
    targets = targets.map { it.toModel() }.toPersistentList(),
    operations = operations.map { it.toModel() }.toPersistentList(),
    probePath = probePath
)

private fun TargetEntry.toModel() = Target(
    id = TargetId(name),
    zone = Zone(zone),
    address = Address(address.substringBeforeLast(':'), address.substringAfterLast(':').toInt()),
    slots = slots
)

private fun OperationEntry.toModel() = Operation(
    id = OperationId(name),
    method = method,
    path = PathTemplate(path),
    repeatability = if (repeatable) Repeatability.Repeatable else Repeatability.AtMostOnce,
    workClass = when (duration) {
        DurationEntry.Short -> WorkClass.Short
        DurationEntry.Long -> WorkClass.Long
    }
)

private fun RouteEntry.toModel() = Route(
    id = OperationId(name),
    host = host,
    pathPrefix = pathPrefix,
    backends = backends.map { Backend(ServiceId(it.service), it.weight) }.toPersistentList(),
    repeatability = if (repeatable) Repeatability.Repeatable else Repeatability.OncePerRequest,
    bounds = CallBounds(
        maxTargets = maxTargets,
        timeout = timeoutMillis?.let(Duration::ofMillis),
        objective = objectiveMillis?.let(Duration::ofMillis),
        priority = priority
    )
)

private fun PlanEntry.toModel() = Plan(
    id = PlanId(name),
    allowance = Allowance(
        callsPerSecond = callsPerSecond,
        burstCalls = burstCalls,
        concurrentCalls = concurrentCalls,
        bytesPerSecond = bytesPerSecond,
        burstBytes = burstBytes
    ),
    operations = operations.map { it.toOperationRef() }.toPersistentSet(),
    weight = weight
)

private fun String.toOperationRef() =
    OperationRef(ServiceId(substringBefore('/')), OperationId(substringAfter('/')))

/** Maps the values by [key], iterated in the order of this list. */
private fun <K, V> List<V>.indexedBy(key: (V) -> K): PersistentMap<K, V> =
    fold(persistentMapOf()) { map, value -> map.put(key(value), value) }
