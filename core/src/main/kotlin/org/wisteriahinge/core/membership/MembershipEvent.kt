package org.wisteriahinge.core.membership

import kotlinx.collections.immutable.PersistentList
import org.wisteriahinge.core.model.Address
import org.wisteriahinge.core.model.RevisionNumber
import org.wisteriahinge.core.model.Zone

/** An entry of the platform's instance list. [name] stays the same across restarts. */
public data class ListedInstance(
    val name: String,
    val address: Address,
    val zone: Zone,
    val leaving: Boolean
)

/** An input of [MembershipState.decide]. */
public sealed interface MembershipEvent {
    /** The platform's instance list was read; it may be out of date. */
    public data class Listed(val instances: PersistentList<ListedInstance>) : MembershipEvent

    /** A peer's heartbeat arrived. */
    public data class Heard(val heartbeat: PeerMessage.Heartbeat) : MembershipEvent

    /** This instance entered [phase]. */
    public data class PhaseChanged(val phase: PeerPhase) : MembershipEvent

    /** This instance activated configuration [revision]. */
    public data class RevisionChanged(val revision: RevisionNumber) : MembershipEvent

    /** The loads to send in heartbeats changed; the most useful come first. */
    public data class LoadsChanged(val loads: PersistentList<TargetLoad>) : MembershipEvent

    /** The quarantine notices to send in heartbeats changed; the most urgent come first. */
    public data class QuarantineChanged(val notices: PersistentList<QuarantineNotice>) :
        MembershipEvent

    /** A heartbeat period elapsed. */
    public data object Ticked : MembershipEvent
}
