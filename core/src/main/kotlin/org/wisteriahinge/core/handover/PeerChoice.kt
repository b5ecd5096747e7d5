package org.wisteriahinge.core.handover

import java.time.Instant
import java.util.SplittableRandom
import org.wisteriahinge.core.call.CallInProgress
import org.wisteriahinge.core.call.CallsState
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.core.model.ServiceId
import org.wisteriahinge.core.model.TargetId

/** Instances compared for a call, besides proven ones; bounds the cost of a choice. */
private const val MAX_COMPARED = 24

/** Calls in flight at an instance of this zone that outweigh the traffic to another zone. */
private const val OTHER_ZONE_COST = 3

/** The same for an instance that was not asked yet: it may have lost its targets too. */
private const val UNKNOWN_COST = 4

/** The same for an instance that took no call lately, which is asked when others are busy. */
private const val REJECTION_COST = 16

/**
 * The instance that [call] is handed over to next: one with few calls from here, in this zone
 * rather than in another; null if none is left to ask. A call that was handed over stays here.
 */
internal fun CallsState.choosePeer(call: CallInProgress, now: Instant): PeerInstance? {
    if (call.request.handover != null) return null
    val service = call.matched.service.id
    val candidates = handover.peers.values.filter {
        !handover.isAvoided(it.id, service, now) && it.id.asTarget() !in call.triedTargets
    }
    if (candidates.isEmpty()) return null
    val random = SplittableRandom(routing.seed xor (call.request.callId.value + lastAttemptId))
    val first = random.nextInt(candidates.size)
    val inFlight = routing.attempts.values.groupingBy { it.target }.eachCount()
    val proven = candidates.filter { PeerService(it.id, service) in handover.proven }
    val others = (candidates.drop(first) + candidates.take(first)).take(MAX_COMPARED)
    return (proven + others).minByOrNull {
        (inFlight[it.id.asTarget()] ?: 0) + cost(it, service)
    }
}

private fun CallsState.cost(peer: PeerInstance, service: ServiceId): Int {
    val away = if (peer.zone == routing.zone) 0 else OTHER_ZONE_COST
    return away + when (handover.standingOf(peer.id, service)) {
        PeerStanding.Proven -> 0
        PeerStanding.Unknown -> UNKNOWN_COST
        PeerStanding.Rejected -> REJECTION_COST
    }
}

/** The name under which attempts through this instance are counted; no target has it. */
internal fun InstanceId.asTarget(): TargetId = TargetId("instance $value")
