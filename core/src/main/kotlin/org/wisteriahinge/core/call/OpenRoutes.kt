package org.wisteriahinge.core.call

import com.github.michaelbull.result.getError
import com.github.michaelbull.result.mapBoth
import java.time.Instant
import java.util.SplittableRandom
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
import org.wisteriahinge.core.handover.HandedOverCall
import org.wisteriahinge.core.model.Allowance
import org.wisteriahinge.core.model.Backend
import org.wisteriahinge.core.model.CallBounds
import org.wisteriahinge.core.model.Customer
import org.wisteriahinge.core.model.CustomerId
import org.wisteriahinge.core.model.Execution
import org.wisteriahinge.core.model.ForwardedIdentity
import org.wisteriahinge.core.model.KeyedCustomer
import org.wisteriahinge.core.model.MatchedOperation
import org.wisteriahinge.core.model.Operation
import org.wisteriahinge.core.model.PathTemplate
import org.wisteriahinge.core.model.Plan
import org.wisteriahinge.core.model.PlanId
import org.wisteriahinge.core.model.Refusal
import org.wisteriahinge.core.model.RefusalReason
import org.wisteriahinge.core.model.Route
import org.wisteriahinge.core.model.Standing
import org.wisteriahinge.core.model.WorkClass
import org.wisteriahinge.core.routing.WeightedRoundRobin

/** Weight of the highest priority in the fair queues. Each lower rank has half the weight. */
private const val HIGHEST_WEIGHT = 64
private const val MAX_RANK = 6

/** Calls of other instances in progress here, so that they leave room for the own callers. */
private const val MAX_HANDED_OVER_CALLS = 256

private val unlimited = Allowance(
    callsPerSecond = Double.MAX_VALUE,
    burstCalls = Int.MAX_VALUE,
    concurrentCalls = Int.MAX_VALUE,
    bytesPerSecond = Long.MAX_VALUE,
    burstBytes = Long.MAX_VALUE
)

/**
 * Stands for all callers of open routes with the priority of [bounds], which share one queue, or
 * for those of the customer [keyed].
 */
private fun openCaller(bounds: CallBounds, keyed: KeyedCustomer? = null): EntitledCaller {
    val rank = bounds.priority.coerceIn(0, MAX_RANK)
    val name = "open-$rank"
    val customer = keyed?.id ?: CustomerId(name)
    return EntitledCaller(
        Customer(customer, PlanId(name), persistentListOf(), Standing.Active),
        Plan(PlanId(name), unlimited, persistentSetOf(), HIGHEST_WEIGHT shr rank),
        isOpen = true,
        keyed = keyed
    )
}

/** The priority of the customer takes precedence over that of the route. */
private fun Operation.forCustomer(keyed: KeyedCustomer?): Operation {
    val priority = keyed?.priority ?: return this
    return if (priority ==
        bounds.priority
    ) {
        this
    } else {
        copy(bounds = bounds.copy(priority = priority))
    }
}

/** Handles a request for a route: checks its key, if it needs one, and admits it. */
internal fun CallsState.arriveOpen(
    request: CallRequest,
    route: Route,
    now: Instant
): CallsDecision = configuration.customerOf(request, route).mapBoth(
    success = { customer -> arriveOpen(request, route, customer, now) },
    failure = { reason -> refuseOnArrival(request, reason.refusal(), now) }
)

/** Chooses the backend service of a request of [customer] and limits its deadline. */
private fun CallsState.arriveOpen(
    request: CallRequest,
    route: Route,
    customer: KeyedCustomer?,
    now: Instant
): CallsDecision {
    val turn = (
        backendTurns[route.id]?.takeIf { it.backends == route.backends }
            ?: initialTurn(route)
        )
        .next()
    val chosen = copy(backendTurns = backendTurns.put(route.id, turn.after))
    val service = configuration.entitlements.services[turn.backend.service]
        ?: return chosen.refuseOnArrival(
            request,
            Refusal(RefusalReason.NoTarget, Execution.NotRun, RETRY_AFTER_NO_TARGET),
            now
        )
    val bounded = request.within(route.bounds, now)
    val operation = route.operation.forCustomer(customer)
    val checked = CheckedCall(
        openCaller(operation.bounds, customer),
        MatchedOperation(service, operation)
    )
    return checkLimitsOfRequest(checked, bounded, now).mapBoth(
        success = { chosen.admit(bounded, it, now) },
        failure = { chosen.refuseOnArrival(request, it.refusal(), now) }
    )
}

/**
 * Handles a call that another instance handed over, as that one decided: an older configuration
 * here changes neither its service nor what may be repeated. Its sender cannot reach the service,
 * and is not asked to take such calls.
 */
internal fun CallsState.arriveHandedOver(
    request: CallRequest,
    handover: HandedOverCall,
    now: Instant
): CallsDecision = copy(handover = this.handover.rejected(handover.from, handover.service, now))
    .decideHandedOver(request, handover, now)

private fun CallsState.decideHandedOver(
    request: CallRequest,
    handover: HandedOverCall,
    now: Instant
): CallsDecision {
    val service = configuration.entitlements.services[handover.service]
    val refusal = undecidedKeyRefusal(request, handover) ?: when {
        service == null -> RefusalReason.NoTarget
        calls.values.count { it.request.handover != null } >= MAX_HANDED_OVER_CALLS ->
            RefusalReason.InstanceOverloaded
        else -> null
    }
    if (service == null || refusal != null) {
        val reason = refusal ?: RefusalReason.NoTarget
        val answer = Refusal(reason, Execution.NotRun, RETRY_AFTER_NO_TARGET)
        return refuseOnArrival(request, answer, now)
    }
    val operation = Operation(
        id = handover.operation,
        method = request.method,
        path = PathTemplate(request.path.substringBefore('?')),
        repeatability = handover.repeatability,
        workClass = WorkClass.Short,
        bounds = handover.bounds
    )
    val checked = CheckedCall(openCaller(handover.bounds), MatchedOperation(service, operation))
    return checkLimitsOfRequest(checked, request, now).mapBoth(
        success = { admit(request, it, now) },
        failure = { refuseOnArrival(request, it.refusal(), now) }
    )
}

/** Senders of versions that know no API keys have not checked the key of [request]. */
private fun CallsState.undecidedKeyRefusal(
    request: CallRequest,
    handover: HandedOverCall
): RefusalReason? = when (handover.identity) {
    is ForwardedIdentity.OfCustomer, ForwardedIdentity.Anonymous -> null
    ForwardedIdentity.AsSent ->
        configuration.customerOf(request, configuration.routeOf(request)).getError()
}

/**
 * Each instance starts its rotation at another position, so that the weights hold in total even if
 * each instance gets few requests.
 */
private fun CallsState.initialTurn(route: Route): WeightedRoundRobin {
    val total = route.backends.sumOf(Backend::weight).coerceAtLeast(1)
    val start = SplittableRandom(routing.seed xor route.id.hashCode().toLong()).nextInt(total)
    return WeightedRoundRobin.of(route.backends).advancedBy(start)
}

private fun CallRequest.within(bounds: CallBounds, now: Instant): CallRequest {
    val latest = bounds.timeout?.let { (arrivedAt ?: now) + it } ?: return this
    return if (latest < deadline) copy(deadline = latest) else this
}
