package org.wisteriahinge.core.call

import java.time.Instant
import org.wisteriahinge.core.handover.AttemptPath
import org.wisteriahinge.core.handover.HandedOverCall
import org.wisteriahinge.core.handover.HandoverPolicy
import org.wisteriahinge.core.handover.PeerInstance
import org.wisteriahinge.core.handover.asTarget
import org.wisteriahinge.core.handover.choosePeer
import org.wisteriahinge.core.model.AttemptId
import org.wisteriahinge.core.model.ForwardedIdentity
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.core.model.Target
import org.wisteriahinge.core.routing.TargetChoice

/** Why a call goes to another instance. */
public sealed class HandoverCause(public val wireName: String) {
    /** No target of its service can be reached from here. */
    public data object ServiceLost : HandoverCause("service_lost")

    /** Its attempts could not connect to the targets that were chosen. */
    public data object NotConnected : HandoverCause("not_connected")

    /** All targets that may be used were tried, or are unavailable from here. */
    public data object NoTargetLeft : HandoverCause("no_target_left")
}

/** Where the next attempt of a call goes. */
internal sealed interface Destination {
    data class AtTarget(val choice: TargetChoice.Chosen) : Destination

    data class AtInstance(val self: InstanceId, val peer: PeerInstance, val cause: HandoverCause) :
        Destination

    /** Only targets are left whose rate limits allow no request. */
    data class RateLimited(val choice: TargetChoice.RateLimited) : Destination

    data object None : Destination
}

/** Chooses where the next attempt of [call] goes: to a target, or else to another instance. */
internal fun CallsState.chooseDestination(call: CallInProgress, now: Instant): Destination {
    if (handover.isLost(call.matched.service.id)) {
        return atInstance(call, HandoverCause.ServiceLost, now)
    }
    if (call.unreachedAttempts >= MAX_UNREACHED_ATTEMPTS) {
        return atInstance(call, HandoverCause.NotConnected, now)
    }
    return when (val choice = routing.choose(routeRequest(call, now), now)) {
        is TargetChoice.Chosen -> Destination.AtTarget(choice)
        is TargetChoice.RateLimited -> Destination.RateLimited(choice)
        TargetChoice.NoTarget ->
            if (routing.byService[call.matched.service.id].isNullOrEmpty()) {
                // The list of targets is the same at every instance.
                Destination.None
            } else {
                atInstance(call, HandoverCause.NoTargetLeft, now)
            }
    }
}

private fun CallsState.atInstance(
    call: CallInProgress,
    cause: HandoverCause,
    now: Instant
): Destination = when (val policy = handover.policy) {
    HandoverPolicy.Off -> Destination.None
    is HandoverPolicy.ToInstances -> choosePeer(call, now)
        ?.let { Destination.AtInstance(policy.self, it, cause) }
        ?: Destination.None
}

/** Sends the next attempt of [call] to the instance of [destination]. */
internal fun CallsState.handOver(
    call: CallInProgress,
    destination: Destination.AtInstance,
    now: Instant
): CallsDecision {
    val service = call.matched.service.id
    val peer = destination.peer
    val identity = identityOrAnonymous(call)
    val attempt = Attempt(
        id = AttemptId(lastAttemptId + 1),
        number = call.attemptsStarted + 1,
        target = peer.asAttemptTarget(),
        deadline = call.request.deadline,
        noRetry = call.attemptsStarted > 0 || !call.request.retriesAllowed,
        isRepeatable = call.isRepeatable(),
        path = AttemptPath.ThroughInstance(peer, call.handedOver(destination.self, identity)),
        identity = identity
    )
    val step = TraceStep.HandedOver(now, attempt.number, peer.id, destination.cause)
    return launch(call, attempt, step, now)
        .emit(CallEffect.Count(CallCounter.HandedOver(service, destination.cause)))
}

private fun PeerInstance.asAttemptTarget() = Target(id.asTarget(), zone, address, slots = 1)

/** What the other instance needs to know; it may use as many targets as are left. */
private fun CallInProgress.handedOver(
    self: InstanceId,
    identity: ForwardedIdentity
): HandedOverCall {
    val operation = matched.operation
    return HandedOverCall(
        self,
        matched.service.id,
        operation.id,
        operation.repeatability,
        operation.bounds.copy(maxTargets = targetsLeft(), timeout = null),
        request.callerAddress,
        identity
    )
}

/** Remembers that an instance did not take [call], so that others are asked first. */
internal fun CallsState.observeHandover(
    call: CallInProgress,
    event: CallEvent.AttemptFailed,
    now: Instant
): CallsState {
    val path = call.attempts[event.attemptId]?.attempt?.path
    val service = call.matched.service.id
    return when (path) {
        null, AttemptPath.Direct -> this
        is AttemptPath.ThroughInstance ->
            if (event.failure.isShed()) {
                copy(handover = handover.accepted(path.peer.id, service))
            } else {
                copy(handover = handover.rejected(path.peer.id, service, now))
            }
    }
}

/** Remembers that an instance had a request answered. */
internal fun CallsState.observeHandoverAnswer(call: CallInProgress, attempt: Attempt): CallsState =
    when (val path = attempt.path) {
        AttemptPath.Direct -> this
        is AttemptPath.ThroughInstance ->
            copy(handover = handover.accepted(path.peer.id, call.matched.service.id))
    }
