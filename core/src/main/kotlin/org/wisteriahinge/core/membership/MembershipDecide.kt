package org.wisteriahinge.core.membership

import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.toPersistentList
import org.wisteriahinge.core.model.Address

/** Returns the state after [event] and the effects to perform. Reads no clock and does no I/O. */
public fun MembershipState.decide(event: MembershipEvent, now: Instant): MembershipDecision =
    when (event) {
        is MembershipEvent.Listed -> listed(event, now)
        is MembershipEvent.Heard -> heard(event.heartbeat, now)
        is MembershipEvent.PhaseChanged -> changePhase(event.phase)
        is MembershipEvent.RevisionChanged -> MembershipDecision(copy(revision = event.revision))
        is MembershipEvent.LoadsChanged -> MembershipDecision(copy(loads = event.loads))
        is MembershipEvent.QuarantineChanged ->
            MembershipDecision(copy(quarantined = event.notices))
        MembershipEvent.Ticked -> checkPeers(now).then { it.sendHeartbeats() }
    }

private fun MembershipState.listed(
    event: MembershipEvent.Listed,
    now: Instant
): MembershipDecision {
    val others = event.instances.filter { it.address != self.address }
    val added = others.fold(this) { state, instance -> state.withListed(instance, now) }
    val leaving = others.filter { it.leaving }.map { it.address }
    val left = leaving.fold(MembershipDecision(added)) { decision, address ->
        decision.then { it.step(address, PeerTrigger.ListedLeaving) }
    }
    val absent = left.state.peers.keys - others.map { it.address }.toSet()
    return absent.fold(left) { decision, address ->
        decision.then { it.withoutListing(address) }
    }
}

private fun MembershipState.withListed(instance: ListedInstance, now: Instant): MembershipState {
    val peer = peers[instance.address]?.copy(listed = true) ?: Peer(
        address = instance.address,
        zone = instance.zone,
        state = peerChart.initial,
        id = null,
        sequence = 0,
        lastHeardAt = now,
        listed = true
    )
    return copy(peers = peers.put(instance.address, peer))
}

private fun MembershipState.withoutListing(address: Address): MembershipDecision {
    val peer = peers[address] ?: return MembershipDecision(this)
    return copy(peers = peers.put(address, peer.copy(listed = false)))
        .step(address, PeerTrigger.Delisted)
}

private fun MembershipState.heard(
    heartbeat: PeerMessage.Heartbeat,
    now: Instant
): MembershipDecision {
    if (heartbeat.from == self.id) return MembershipDecision(this)
    val known = peers[heartbeat.address]
    if (known != null && known.id == heartbeat.from && heartbeat.sequence <= known.sequence) {
        return ignoredAsStale()
    }
    val restarted = known?.id != null && known.id != heartbeat.from
    // Ids do not order the starts of an instance. The last one heard replaces the other, unless it
    // drains: then it is the earlier process, which is stopping.
    if (restarted && heartbeat.phase == PeerPhase.Draining) return ignoredAsStale()
    val peer = Peer(
        address = heartbeat.address,
        zone = heartbeat.zone,
        state = if (known == null || restarted) peerChart.initial else known.state,
        id = heartbeat.from,
        sequence = heartbeat.sequence,
        lastHeardAt = now,
        listed = known?.listed ?: false
    )
    val trigger = when (heartbeat.phase) {
        PeerPhase.Starting, PeerPhase.Serving -> PeerTrigger.HeardServing
        PeerPhase.Draining -> PeerTrigger.HeardDraining
    }
    return copy(peers = peers.put(heartbeat.address, peer))
        .step(heartbeat.address, trigger)
        .emit(MembershipEffect.ForwardHeartbeat(heartbeat))
}

private fun MembershipState.ignoredAsStale() = MembershipDecision(this)
    .emit(MembershipEffect.Count(MembershipCounter.StaleHeartbeat))

private fun MembershipState.changePhase(next: PeerPhase): MembershipDecision {
    val changed = copy(phase = next)
    val announced = MembershipDecision(changed)
        .emit(MembershipEffect.AnnounceMembers(changed.members()))
    // A drain is announced to all peers immediately, so that they take over without delay.
    return if (next == PeerPhase.Draining) {
        announced.then { it.sendHeartbeatTo(it.reachablePeers()) }
    } else {
        announced
    }
}

private fun MembershipState.checkPeers(now: Instant): MembershipDecision {
    val perPeerInterval = plan.perPeerInterval
    return peers.values.fold(MembershipDecision(this)) { decision, peer ->
        val trigger = missTrigger(Duration.between(peer.lastHeardAt, now), perPeerInterval)
        if (trigger == null) decision else decision.then { it.step(peer.address, trigger) }
    }
}

/** A heartbeat counts as missed when it is more than half a period late. */
private fun missTrigger(silence: Duration, perPeerInterval: Duration): PeerTrigger? {
    val halfPeriods = silence.multipliedBy(2).dividedBy(perPeerInterval)
    return when {
        halfPeriods >= 7 -> PeerTrigger.MissedThree
        halfPeriods >= 3 -> PeerTrigger.MissedOne
        else -> null
    }
}

private fun MembershipState.sendHeartbeats(): MembershipDecision {
    val reachable = reachablePeers()
    if (reachable.isEmpty()) return MembershipDecision(copy(sequence = sequence + 1))
    val fanout = plan.fanout.coerceAtMost(reachable.size)
    val first = ((sequence * fanout) % reachable.size).toInt()
    val chosen = List(fanout) { reachable[(first + it) % reachable.size] }
    return sendHeartbeatTo(chosen)
}

private fun MembershipState.sendHeartbeatTo(chosen: List<Address>): MembershipDecision {
    val next = copy(sequence = sequence + 1)
    if (chosen.isEmpty()) return MembershipDecision(next)
    return MembershipDecision(next)
        .emit(MembershipEffect.SendHeartbeat(chosen.toPersistentList(), next.heartbeat()))
}

private fun MembershipState.heartbeat(): PeerMessage.Heartbeat {
    val entries = plan.entries
    val notices = quarantined.take(entries)
    return PeerMessage.Heartbeat(
        from = self.id,
        address = self.address,
        zone = self.zone,
        sequence = sequence,
        phase = phase,
        revision = revision,
        loads = loads.take(entries - notices.size).toPersistentList(),
        quarantined = notices.toPersistentList()
    )
}

/**
 * The recipients of heartbeats in a fixed order. Includes peers that are gone, because they may
 * only be cut off by a network fault.
 */
private fun MembershipState.reachablePeers(): List<Address> =
    peers.keys.sortedWith(compareBy({ it.host }, { it.port }))

private fun MembershipState.step(address: Address, trigger: PeerTrigger): MembershipDecision {
    val peer = peers[address] ?: return MembershipDecision(this)
    val step = peerChart.step(peer.state, trigger)
    val forgotten = step.state in peerChart.finalStates
    val next = if (forgotten) {
        copy(peers = peers.remove(address))
    } else {
        copy(peers = peers.put(address, peer.copy(state = step.state)))
    }
    return step.effects.fold(MembershipDecision(next)) { decision, action ->
        decision.then { it.perform(action) }
    }
}

private fun MembershipState.perform(action: PeerAction): MembershipDecision = when (action) {
    PeerAction.AnnounceMembers ->
        MembershipDecision(this).emit(MembershipEffect.AnnounceMembers(members()))
    PeerAction.CountGone ->
        MembershipDecision(this).emit(MembershipEffect.Count(MembershipCounter.PeerGone))
}
