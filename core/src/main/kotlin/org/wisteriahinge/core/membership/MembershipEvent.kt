package org.wisteriahinge.core.membership

import kotlinx.collections.immutable.PersistentList
import org.wisteriahinge.core.model.Address
import org.wisteriahinge.core.model.RevisionNumber
import org.wisteriahinge.core.model.Zone

/** An instance as the platform lists it. [name] is the platform's and survives restarts. */
public data class ListedInstance(
    val name: String,
    val address: Address,
    val zone: Zone,
    val leaving: Boolean
)

/** What can happen to the membership. */
public sealed interface MembershipEvent {
    /** The platform's list was read; it lags behind. */
    public data class Listed(val instances: PersistentList<ListedInstance>) : MembershipEvent

    /** A peer's heartbeat arrived. */
    public data class Heard(val heartbeat: PeerMessage.Heartbeat) : MembershipEvent

    /** This instance entered [phase]. */
    public data class PhaseChanged(val phase: PeerPhase) : MembershipEvent

    /** This instance put [revision] in force. */
    public data class RevisionChanged(val revision: RevisionNumber) : MembershipEvent

    /** What heartbeats tell of targets, most useful first. */
    public data class LoadsChanged(val loads: PersistentList<TargetLoad>) : MembershipEvent

    /** What heartbeats tell of requests that crashed servers, most urgent first. */
    public data class QuarantineChanged(val notices: PersistentList<QuarantineNotice>) :
        MembershipEvent

    /** A heartbeat period passed. */
    public data object Ticked : MembershipEvent
}
