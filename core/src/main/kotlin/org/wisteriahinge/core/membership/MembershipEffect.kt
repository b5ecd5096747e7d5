package org.wisteriahinge.core.membership

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import org.wisteriahinge.core.model.Address
import org.wisteriahinge.core.model.InstanceId

/** The instances that take part, this one included. */
public data class Members(
    val live: PersistentSet<InstanceId>,
    val addresses: PersistentMap<InstanceId, Address>
)

/** What the membership asks its surroundings to do. */
public sealed interface MembershipEffect {
    /** Send [heartbeat] to each address in [to]. */
    public data class SendHeartbeat(
        val to: PersistentList<Address>,
        val heartbeat: PeerMessage.Heartbeat
    ) : MembershipEffect

    /** The members changed. */
    public data class AnnounceMembers(val members: Members) : MembershipEffect

    /** A new heartbeat of a peer carries news for other duties. */
    public data class ForwardHeartbeat(val heartbeat: PeerMessage.Heartbeat) : MembershipEffect

    /** Add one to a metric. */
    public data class Count(val counter: MembershipCounter) : MembershipEffect
}

/** A metric that counts decisions on membership. */
public sealed class MembershipCounter(public val wireName: String) {
    /** A heartbeat was older than one already seen, or of an earlier start of the peer. */
    public data object StaleHeartbeat : MembershipCounter("stale_heartbeat")

    /** A peer was declared gone. */
    public data object PeerGone : MembershipCounter("peer_gone")
}
