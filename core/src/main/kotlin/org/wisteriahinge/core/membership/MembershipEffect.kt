package org.wisteriahinge.core.membership

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import org.wisteriahinge.core.model.Address
import org.wisteriahinge.core.model.InstanceId

/** The [live] instances, including this one unless it drains, and the [addresses] of known ones. */
public data class Members(
    val live: PersistentSet<InstanceId>,
    val addresses: PersistentMap<InstanceId, Address>
)

/** An action that a membership decision requests from the duty that runs it. */
public sealed interface MembershipEffect {
    /** Send [heartbeat] to each address in [to]. */
    public data class SendHeartbeat(
        val to: PersistentList<Address>,
        val heartbeat: PeerMessage.Heartbeat
    ) : MembershipEffect

    /** Notify other duties that the members changed. */
    public data class AnnounceMembers(val members: Members) : MembershipEffect

    /** Pass a new heartbeat of a peer on to the duties that use its loads and notices. */
    public data class ForwardHeartbeat(val heartbeat: PeerMessage.Heartbeat) : MembershipEffect

    /** Increment the metric [counter]. */
    public data class Count(val counter: MembershipCounter) : MembershipEffect
}

/** A metric that counts decisions on membership. */
public sealed class MembershipCounter(public val wireName: String) {
    /** A heartbeat was older than one already received, or from an earlier process of the peer. */
    public data object StaleHeartbeat : MembershipCounter("stale_heartbeat")

    /** A peer was declared gone after three missed heartbeats. */
    public data object PeerGone : MembershipCounter("peer_gone")
}
