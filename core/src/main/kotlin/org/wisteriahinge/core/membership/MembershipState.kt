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

/** Who this instance is. [name] is its name in the platform's list. */
public data class SelfIdentity(
    val name: String,
    val id: InstanceId,
    val address: Address,
    val zone: Zone
)

/** Bounds of the heartbeats. */
public data class MembershipSettings(
    val period: Duration = Duration.ofSeconds(1),
    val budgetBytesPerSecond: Int = 2_000
)

/** A peer and what was last heard of it. [id] is null until its first heartbeat. */
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
 * Who takes part, as far as this instance knows. Peers are kept by address: an instance that
 * restarts on the same machine replaces its earlier self.
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
    /** How heartbeats are spread over the peers that are known now. */
    public val plan: HeartbeatPlan
        get() = planHeartbeats(peers.size, settings.budgetBytesPerSecond, settings.period)

    /** The instances that take part, this one included unless it drains. */
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

/** The next state and the effects that lead to it, in order. */
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
