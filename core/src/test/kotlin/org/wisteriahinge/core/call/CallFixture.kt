package org.wisteriahinge.core.call

import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList
import org.wisteriahinge.core.model.Address
import org.wisteriahinge.core.model.Allowance
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.Configuration
import org.wisteriahinge.core.model.Credential
import org.wisteriahinge.core.model.CredentialId
import org.wisteriahinge.core.model.Customer
import org.wisteriahinge.core.model.CustomerId
import org.wisteriahinge.core.model.Customers
import org.wisteriahinge.core.model.Entitlements
import org.wisteriahinge.core.model.IdempotencyKey
import org.wisteriahinge.core.model.LoadReport
import org.wisteriahinge.core.model.Operation
import org.wisteriahinge.core.model.OperationId
import org.wisteriahinge.core.model.OperationRef
import org.wisteriahinge.core.model.PathTemplate
import org.wisteriahinge.core.model.Plan
import org.wisteriahinge.core.model.PlanId
import org.wisteriahinge.core.model.Repeatability
import org.wisteriahinge.core.model.RequestDigest
import org.wisteriahinge.core.model.RevisionNumber
import org.wisteriahinge.core.model.Service
import org.wisteriahinge.core.model.ServiceId
import org.wisteriahinge.core.model.Standing
import org.wisteriahinge.core.model.Target
import org.wisteriahinge.core.model.TargetId
import org.wisteriahinge.core.model.WorkClass
import org.wisteriahinge.core.model.Zone
import org.wisteriahinge.core.once.ClaimSettlement
import org.wisteriahinge.core.retry.RetrySettings
import org.wisteriahinge.core.retry.RetryState
import org.wisteriahinge.core.routing.RoutingPolicy
import org.wisteriahinge.core.routing.RoutingState

/** Lists with one service `results` and two customers, and requests of these customers. */
internal object CallFixture {
    val start: Instant = Instant.parse("2026-01-01T00:00:00Z")
    val service = ServiceId("results")
    private val allowance = Allowance(1e6, 1_000_000, 1_000_000, Long.MAX_VALUE, Long.MAX_VALUE)

    fun state(targets: Int = 4, retries: RetrySettings = RetrySettings()): CallsState {
        val entitlements = entitlements(targets)
        return CallsState(
            configuration = Configuration(RevisionNumber(1), customers(), entitlements),
            routing = RoutingState(RoutingPolicy.LeastInFlight, Zone("a"), seed = 1)
                .configured(entitlements),
            retries = RetryState(retries)
        )
    }

    private fun customers() = Customers(
        persistentHashMapOf(
            CustomerId("basic") to customer("basic"),
            CustomerId("large") to customer("large")
        )
    )

    private fun customer(name: String) = Customer(
        CustomerId(name),
        PlanId(name),
        persistentListOf(Credential(CredentialId(name), "hash-$name", Standing.Active)),
        Standing.Active
    )

    private fun entitlements(targets: Int) = Entitlements(
        services = persistentHashMapOf(service to service(targets)),
        plans = persistentHashMapOf(
            PlanId("basic") to plan("basic", weight = 1),
            PlanId("large") to plan("large", weight = 3)
        )
    )

    private fun plan(name: String, weight: Int) = Plan(
        PlanId(name),
        allowance,
        persistentSetOf("lookup", "book", "upload").fold(persistentSetOf()) { refs, operation ->
            refs.add(OperationRef(service, OperationId(operation)))
        },
        weight
    )

    private fun service(targets: Int) = Service(
        service,
        (1..targets).map {
            Target(TargetId("t$it"), Zone("a"), Address("127.0.0.1", it), slots = 3)
        }.toPersistentList(),
        persistentListOf(
            operation("lookup", Repeatability.Repeatable, WorkClass.Short),
            operation("book", Repeatability.AtMostOnce, WorkClass.Short),
            operation("upload", Repeatability.Repeatable, WorkClass.Long)
        )
    )

    private fun operation(name: String, repeatability: Repeatability, workClass: WorkClass) =
        Operation(OperationId(name), "POST", PathTemplate("/$name"), repeatability, workClass)

    fun request(
        id: Long,
        operation: String = "lookup",
        customer: String = "basic",
        digest: String = "digest-$id",
        timeout: Duration = Duration.ofSeconds(1),
        arrivedAt: Instant = start
    ) = CallRequest(
        callId = CallId(id),
        credential = PresentedCredential(CredentialId(customer), "hash-$customer"),
        method = "POST",
        path = "/$operation",
        idempotencyKey = IdempotencyKey("key-$id"),
        digest = RequestDigest(digest),
        deadline = arrivedAt + timeout,
        depth = 0,
        retriesAllowed = true,
        bodyBytes = 10,
        replayable = true
    )
}

/** Applies a sequence of events to [state] and keeps the effects of the last one. */
internal class CallsHarness(var state: CallsState, var now: Instant = CallFixture.start) {
    var effects: List<CallEffect> = emptyList()
        private set

    val forwarded: List<Attempt> get() = effects.filterIsInstance<CallEffect.Forward>()
        .map { it.attempt }
    val refusals get() = effects.filterIsInstance<CallEffect.Refuse>().map { it.refusal }
    val counters get() = effects.filterIsInstance<CallEffect.Count>().map { it.counter }

    fun handle(event: CallEvent): CallsHarness {
        val decision = state.decide(event, now)
        state = decision.state
        effects = decision.effects
        return this
    }

    /** Handles the arrival of [request] and grants its claim if it requests one. */
    fun arrive(request: CallRequest): CallsHarness {
        handle(CallEvent.Arrived(request))
        val claims = effects.any { it is CallEffect.Claim }
        return if (claims) grant(request.callId) else this
    }

    fun grant(callId: CallId) = handle(CallEvent.ClaimSettled(callId, ClaimSettlement.Granted))

    fun fail(call: Long, attempt: Attempt, failure: AttemptFailure, replayable: Boolean = true) =
        handle(CallEvent.AttemptFailed(CallId(call), attempt.id, failure, replayable))

    fun answer(call: Long, attempt: Attempt, status: Int = 200, load: LoadReport? = null) =
        handle(CallEvent.Answered(CallId(call), attempt.id, status, load))

    fun complete(call: Long, attempt: Attempt) =
        handle(CallEvent.Completed(CallId(call), attempt.id))
}
