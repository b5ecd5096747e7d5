package org.wisteriahinge.app

import org.wisteriahinge.core.membership.PeerMessage
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.runtime.PeerLink

/** The link of an instance without a peer network; messages are lost, as any link may lose them. */
internal object DiscardingPeerLink : PeerLink {
    override fun send(to: InstanceId, message: PeerMessage) = Unit

    override fun broadcast(message: PeerMessage) = Unit
}
