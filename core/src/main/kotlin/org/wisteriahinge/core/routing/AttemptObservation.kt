package org.wisteriahinge.core.routing

import java.time.Duration
import java.time.Instant
import java.util.SplittableRandom
import org.wisteriahinge.core.availability.AvailabilityState
import org.wisteriahinge.core.availability.AvailabilityTrigger
import org.wisteriahinge.core.availability.Moment
import org.wisteriahinge.core.availability.TargetHealth
import org.wisteriahinge.core.call.AttemptFailure
import org.wisteriahinge.core.model.ServiceId

private const val NANOS_PER_MILLI = 1_000_000.0
private const val FIRST_SERVER_ERROR = 500

/** A time-out counts as an answer that took this many times the usual time. */
private const val TIMED_OUT_RATIO = 10.0

/** Takes what [result] shows of the target into its health and the service's usual times. */
internal fun RoutingState.observed(
    at: AttemptAtTarget,
    result: AttemptResult,
    now: Instant
): RoutingState {
    val view = targets[at.target] ?: return this
    val moment = Moment(now, SplittableRandom(seed xor choices).nextDouble())
    val health = when (result) {
        is AttemptResult.Answered -> answered(view, at, result.status, moment)
        is AttemptResult.Failed -> when (result.attribution) {
            FailureAttribution.Target -> failed(view, result.failure, moment)
            // One customer's request that crashes servers must not eject them for others.
            FailureAttribution.Request -> view.health
        }
    }
    val seen = copy(
        targets = targets.put(
            at.target,
            view.copy(health = health, lastEventAt = now, silentSince = silentAfter(view, result))
        )
    )
    return if (result.isWhole()) seen.paced(view.service, at, now) else seen
}

/** An answer is a sign of life, and so is a statement that the request did not run. */
private fun silentAfter(view: TargetView, result: AttemptResult): Instant? = when (result) {
    is AttemptResult.Answered -> null
    is AttemptResult.Failed -> view.silentSince
}

private fun AttemptResult.isWhole(): Boolean =
    this is AttemptResult.Answered && status < FIRST_SERVER_ERROR

private fun RoutingState.answered(
    view: TargetView,
    at: AttemptAtTarget,
    status: Int,
    moment: Moment
): TargetHealth {
    if (status >= FIRST_SERVER_ERROR) {
        return view.health.failed(moment, certain = false, mayEject(view.service))
    }
    val pace = paces[view.service] ?: return view.health.answered(1.0, moment)
    return view.health.answered(at.tookMillis(moment.now) / pace.usualMillis(at.operation), moment)
}

private fun RoutingState.failed(
    view: TargetView,
    failure: AttemptFailure,
    moment: Moment
): TargetHealth = when (failure) {
    AttemptFailure.ConnectFailed ->
        view.health.failed(moment, certain = true, mayEject(view.service))
    AttemptFailure.Disconnected,
    AttemptFailure.Truncated,
    AttemptFailure.InvalidAnswer ->
        view.health.failed(moment, certain = false, mayEject(view.service))
    AttemptFailure.TargetDraining,
    AttemptFailure.WrongTarget ->
        view.health.step(AvailabilityTrigger.DrainAnnounced, moment)
    AttemptFailure.Shed -> view.health.shed(moment)
    AttemptFailure.TimedOut -> view.health.answered(TIMED_OUT_RATIO, moment)
    AttemptFailure.NotSent -> view.health
}

/** Whether one more target of [service] may be ejected: at most half of them are at a time. */
internal fun RoutingState.mayEject(service: ServiceId): Boolean {
    val members = byService[service].orEmpty()
    val ejected = members.count { targets[it]?.health?.state == AvailabilityState.Ejected }
    return 2 * (ejected + 1) <= members.size
}

private fun RoutingState.paced(
    service: ServiceId,
    at: AttemptAtTarget,
    now: Instant
): RoutingState {
    val pace = paces[service] ?: ServicePace()
    return copy(paces = paces.put(service, pace.answered(at.operation, at.tookMillis(now))))
}

private fun AttemptAtTarget.tookMillis(now: Instant): Double =
    Duration.between(startedAt, now).toNanos() / NANOS_PER_MILLI
