package org.wisteriahinge.runtime

import org.wisteriahinge.core.membership.PeerMessage
import org.wisteriahinge.core.model.InstanceId

/** Sends messages to other instances, without blocking and without guaranteed delivery. */
public interface PeerLink {
    /** Sends [message] to [to]; dropped and counted if [to] is unknown or its queue is full. */
    public fun send(to: InstanceId, message: PeerMessage)

    /** Sends [message] to every instance that is not known to be gone. */
    public fun broadcast(message: PeerMessage)
}
