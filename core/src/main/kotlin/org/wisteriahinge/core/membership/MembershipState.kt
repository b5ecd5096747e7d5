package org.wisteriahinge.core.membership

import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentSet
import org.wisteriahinge.core.model.Address
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.core.model.RevisionNumber
import org.wisteriahinge.core.model.Zone

/** The identity of this instance. [name] is its name in the platform's instance list. */
public data class SelfIdentity(
    val name: String,
    val id: InstanceId,
    val address: Address,
    val zone: Zone
)

/** The heartbeat [period], and the traffic that heartbeats may cause. */
public data class MembershipSettings(
    val period: Duration = Duration.ofSeconds(1),
    val budgetBytesPerSecond: Int = 2_000
)

/**
 * The state of a peer. [id] is null until its first heartbeat, and [sequence] is that of the last
 * one. [listed] is whether the platform's instance list contains it.
 */
public data class Peer(
    val address: Address,
    val zone: Zone,
    val state: PeerState,
    val id: InstanceId?,
    val sequence: Long,
    val lastHeardAt: Instant,
    val listed: Boolean
)

/**
 * The peers as this instance knows them, and the content of its own heartbeats.
 *
 * Peers are kept by address, so that a restarted instance replaces its earlier process.
 */
public data class MembershipState(
    val self: SelfIdentity,
    val settings: MembershipSettings,
    val phase: PeerPhase = PeerPhase.Starting,
    val revision: RevisionNumber = RevisionNumber.None,
    val loads: PersistentList<TargetLoad> = persistentListOf(),
    val quarantined: PersistentList<QuarantineNotice> = persistentListOf(),
    val peers: PersistentMap<Address, Peer> = persistentHashMapOf(),
    val sequence: Long = 0
) {
    /** The distribution of heartbeats over the peers that are known now. */
    public val plan: HeartbeatPlan
        get() = planHeartbeats(peers.size, settings.budgetBytesPerSecond, settings.period)

    /** The live and the slow peers, and this instance unless it drains. */
    public fun members(): Members {
        val present = peers.values.filter {
            it.state == PeerState.Live || it.state == PeerState.Slow
        }
        val self = listOf(self.id).filter { phase != PeerPhase.Draining }
        return Members(
            live = (present.mapNotNull { it.id } + self).toPersistentSet(),
            addresses = peers.values.fold(persistentHashMapOf()) { map, peer ->
                peer.id?.let { map.put(it, peer.address) } ?: map
            }
        )
    }
}

/** The next state and the effects to perform, in order. */
public data class MembershipDecision(
    val state: MembershipState,
    val effects: PersistentList<MembershipEffect> = persistentListOf()
) {
    internal fun emit(effect: MembershipEffect) = copy(effects = effects.add(effect))

    internal fun then(next: (MembershipState) -> MembershipDecision): MembershipDecision {
        val decision = next(state)
        return MembershipDecision(decision.state, effects.addAll(decision.effects))
    }
}
