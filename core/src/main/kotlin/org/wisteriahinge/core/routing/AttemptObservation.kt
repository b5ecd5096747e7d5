package org.wisteriahinge.core.routing

import java.time.Duration
import java.time.Instant
import java.util.SplittableRandom
import org.wisteriahinge.core.availability.AvailabilityState
import org.wisteriahinge.core.availability.AvailabilityTrigger
import org.wisteriahinge.core.availability.DecisionContext
import org.wisteriahinge.core.availability.TargetHealth
import org.wisteriahinge.core.call.AttemptFailure
import org.wisteriahinge.core.model.ServiceId

private const val NANOS_PER_MILLI = 1_000_000.0
private const val FIRST_SERVER_ERROR = 500

/** Ratio to the median answer time that a timed-out attempt counts as. */
private const val TIMEOUT_LATENCY_RATIO = 10.0

/** Updates the health of the target and the latency of its service by [result]. */
internal fun RoutingState.resultObserved(
    attempt: InFlightAttempt,
    result: AttemptResult,
    now: Instant
): RoutingState {
    val view = targets[attempt.target] ?: return this
    val context = DecisionContext(now, SplittableRandom(seed xor choices).nextDouble())
    val health = when (result) {
        is AttemptResult.Answered -> answered(view, attempt, result.status, context)
        is AttemptResult.Failed -> when (result.attribution) {
            FailureAttribution.Target -> failed(view, result.failure, context)
            // A request that crashes servers must not eject them for other customers.
            FailureAttribution.Request -> view.health
        }
    }
    val observed = copy(
        targets = targets.put(
            attempt.target,
            view.copy(
                health = health,
                lastProgressAt = now,
                unresponsiveSince = unresponsiveSinceAfter(view, result)
            )
        )
    )
    return if (result.isSuccessful()) observed.withLatency(view.service, attempt, now) else observed
}

/** An answer shows that the target responds; a failed attempt does not. */
private fun unresponsiveSinceAfter(view: TargetView, result: AttemptResult): Instant? =
    when (result) {
        is AttemptResult.Answered -> null
        is AttemptResult.Failed -> view.unresponsiveSince
    }

private fun AttemptResult.isSuccessful(): Boolean =
    this is AttemptResult.Answered && status < FIRST_SERVER_ERROR

private fun RoutingState.answered(
    view: TargetView,
    attempt: InFlightAttempt,
    status: Int,
    context: DecisionContext
): TargetHealth {
    if (status >= FIRST_SERVER_ERROR) {
        return view.health.failed(context, conclusive = false, mayEject(view.service))
    }
    val latency = latencies[view.service] ?: return view.health.answered(1.0, context)
    return view.health.answered(
        attempt.elapsedMillis(context.now) / latency.medianMillis(attempt.operation),
        context
    )
}

private fun RoutingState.failed(
    view: TargetView,
    failure: AttemptFailure,
    context: DecisionContext
): TargetHealth = when (failure) {
    AttemptFailure.ConnectFailed ->
        view.health.failed(context, conclusive = true, mayEject(view.service))
    AttemptFailure.Disconnected,
    AttemptFailure.Truncated,
    AttemptFailure.InvalidAnswer ->
        view.health.failed(context, conclusive = false, mayEject(view.service))
    AttemptFailure.TargetDraining,
    AttemptFailure.WrongTarget ->
        view.health.step(AvailabilityTrigger.DrainAnnounced, context)
    AttemptFailure.Shed -> view.health.shed(context)
    AttemptFailure.TimedOut -> view.health.answered(TIMEOUT_LATENCY_RATIO, context)
    // No failures of this target.
    AttemptFailure.NotSent,
    AttemptFailure.HandoverDeclined,
    AttemptFailure.HandoverFailed -> view.health
}

/** Whether one more target of [service] may be ejected; at most half of them are at any time. */
internal fun RoutingState.mayEject(service: ServiceId): Boolean {
    val members = byService[service].orEmpty()
    val ejected = members.count { targets[it]?.health?.state == AvailabilityState.Ejected }
    return 2 * (ejected + 1) <= members.size
}

private fun RoutingState.withLatency(
    service: ServiceId,
    attempt: InFlightAttempt,
    now: Instant
): RoutingState {
    val latency = latencies[service] ?: ServiceLatency()
    return copy(
        latencies = latencies.put(
            service,
            latency.withSample(attempt.operation, attempt.elapsedMillis(now))
        )
    )
}

private fun InFlightAttempt.elapsedMillis(now: Instant): Double =
    Duration.between(startedAt, now).toNanos() / NANOS_PER_MILLI
