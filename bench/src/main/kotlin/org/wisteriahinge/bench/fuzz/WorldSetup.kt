package org.wisteriahinge.bench.fuzz

import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList
import org.wisteriahinge.core.call.CallsState
import org.wisteriahinge.core.limits.CallLimits
import org.wisteriahinge.core.limits.LimitScope
import org.wisteriahinge.core.limits.LimitsSettings
import org.wisteriahinge.core.limits.LimitsState
import org.wisteriahinge.core.limits.UsableShares
import org.wisteriahinge.core.model.Address
import org.wisteriahinge.core.model.Allowance
import org.wisteriahinge.core.model.Configuration
import org.wisteriahinge.core.model.Credential
import org.wisteriahinge.core.model.CredentialId
import org.wisteriahinge.core.model.Customer
import org.wisteriahinge.core.model.CustomerId
import org.wisteriahinge.core.model.Customers
import org.wisteriahinge.core.model.Entitlements
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.core.model.Operation
import org.wisteriahinge.core.model.OperationId
import org.wisteriahinge.core.model.OperationRef
import org.wisteriahinge.core.model.PathTemplate
import org.wisteriahinge.core.model.Plan
import org.wisteriahinge.core.model.PlanId
import org.wisteriahinge.core.model.Repeatability
import org.wisteriahinge.core.model.RevisionNumber
import org.wisteriahinge.core.model.Service
import org.wisteriahinge.core.model.ServiceId
import org.wisteriahinge.core.model.Standing
import org.wisteriahinge.core.model.Target
import org.wisteriahinge.core.model.TargetId
import org.wisteriahinge.core.model.WorkClass
import org.wisteriahinge.core.model.Zone
import org.wisteriahinge.core.once.OnceSettings
import org.wisteriahinge.core.once.OnceState
import org.wisteriahinge.core.routing.RoutingPolicy
import org.wisteriahinge.core.routing.RoutingState

private val START: Instant = Instant.parse("2026-01-01T00:00:00Z")

/** An instance that finds an empty log makes no claims for a few seconds. */
private val START_UP: Duration = Duration.ofSeconds(5)
private val ZONE = Zone("zone-a")
private const val TARGETS = 3
private const val SLOTS = 3

internal val customerIds = persistentListOf(CustomerId("delta-utility"), CustomerId("weir-3"))

internal const val KEYED_HASH: String = "hash"

/** A short window and retention, so that keys expire within a run. */
internal val fuzzSettings = OnceSettings(
    keyWindow = Duration.ofSeconds(60),
    answerRetention = Duration.ofSeconds(30),
    maxAnswerBytes = 256,
    maxRetainedBytes = 1_024
)

/** What differs between worlds: the plan of all customers and the settings of the leases. */
internal data class WorldProfile(val allowance: Allowance, val limits: LimitsSettings) {
    val configuration: Configuration = configurationOf(allowance)
}

private val limitsSettings = LimitsSettings(
    slots = 6,
    leaseTerm = Duration.ofSeconds(10),
    slotTerm = Duration.ofSeconds(60)
)

private val noShares = UsableShares(persistentHashMapOf(), slot = null)

/** A plan small enough that callers reach its limits. */
internal val fuzzAllowance = Allowance(
    callsPerSecond = 40.0,
    burstCalls = 60,
    concurrentCalls = 400,
    bytesPerSecond = 8_000,
    burstBytes = 6_000
)

/** Terms are short, so that they end within a run. */
internal val fuzzProfile by lazy { WorldProfile(fuzzAllowance, limitsSettings) }

/** A world with [instances] started instances. */
internal fun newWorld(seed: Long, instances: Int, profile: WorldProfile = fuzzProfile): World {
    val empty = World(seed, START, fuzzSettings, profile, Oracle(profile.allowance)).copy(
        targets = profile.configuration.entitlements.services.values.flatMap { it.targets }
            .fold(persistentHashMapOf()) { all, target -> all.put(target.id, FakeTarget()) }
    )
    return (1..instances).fold(empty) { world, _ -> world.startNode(Duration.ZERO) }
        .advance(START_UP)
}

/** Starts an instance under a new id with a clock that is off by [clockOffset]. */
internal fun World.startNode(clockOffset: Duration): World {
    val id = InstanceId("i${lastNode + 1}")
    val routing = RoutingState(RoutingPolicy.TwoChoices, ZONE, seed + lastNode)
        .configured(profile.configuration.entitlements)
    val node = Node(
        id = id,
        calls = CallsState(
            profile.configuration,
            routing,
            limits = CallLimits(profile.limits, LimitScope.Leased(noShares))
        ),
        once = OnceState(id, settings),
        limits = LimitsState(id, profile.limits),
        clockOffset = clockOffset
    )
    return copy(lastNode = lastNode + 1)
        .update(node)
        .schedule(Duration.ZERO, Delivery.Bounds(id))
        .schedule(Duration.ZERO, Delivery.Tick(id))
}

private val booking = Operation(
    OperationId("book"),
    "POST",
    PathTemplate("/bookings"),
    Repeatability.AtMostOnce,
    WorkClass.Short
)

private val lookup = Operation(
    OperationId("look-up"),
    "GET",
    PathTemplate("/bookings"),
    Repeatability.Repeatable,
    WorkClass.Short
)

private val bookings = Service(
    ServiceId("bookings"),
    (1..TARGETS).map { Target(TargetId("t$it"), ZONE, Address("10.0.0.$it", 80), SLOTS) }
        .toPersistentList(),
    persistentListOf(booking, lookup)
)

private fun planOf(allowance: Allowance) = Plan(
    PlanId("standard"),
    allowance,
    persistentSetOf(
        OperationRef(bookings.id, booking.id),
        OperationRef(bookings.id, lookup.id)
    ),
    weight = 1
)

private fun configurationOf(allowance: Allowance): Configuration {
    val plan = planOf(allowance)
    val customers = customerIds.fold(persistentHashMapOf<CustomerId, Customer>()) { all, id ->
        val credential = Credential(CredentialId(id.value), KEYED_HASH, Standing.Active)
        all.put(id, Customer(id, plan.id, persistentListOf(credential), Standing.Active))
    }
    return Configuration(
        RevisionNumber(1),
        Customers(customers),
        Entitlements(
            persistentHashMapOf(bookings.id to bookings),
            persistentHashMapOf(plan.id to plan)
        )
    )
}
