package org.wisteriahinge.app

import org.wisteriahinge.core.membership.PeerMessage
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.runtime.PeerLink

/** The link of an instance without peers. It discards messages, which any link may lose. */
internal object DiscardingPeerLink : PeerLink {
    override fun send(to: InstanceId, message: PeerMessage) = Unit

    override fun broadcast(message: PeerMessage) = Unit
}
