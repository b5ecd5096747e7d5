package org.wisteriahinge.core.once

import org.wisteriahinge.core.membership.PeerMessage
import org.wisteriahinge.core.membership.RetainedAnswer
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.core.model.Refusal

/** What the decisions on claims ask their surroundings to do. */
public sealed interface OnceEffect {
    /** Append [batch] to the stream `claims`. */
    public data class Append(val batch: ClaimBatch) : OnceEffect

    /** Tell the `calls` duty how the claim of [callId] was settled. */
    public data class Settle(val callId: CallId, val settlement: ClaimSettlement) : OnceEffect

    /** Send [message] to the peer [to]. */
    public data class Send(val to: InstanceId, val message: PeerMessage) : OnceEffect
}

/** How a call's claim was settled. */
public sealed interface ClaimSettlement {
    /** The call holds the key and may be sent. */
    public data object Granted : ClaimSettlement

    /** An earlier copy of the request was answered with [answer]. */
    public data class Answered(val answer: RetainedAnswer) : ClaimSettlement

    /** The call may not be sent. */
    public data class Refused(val refusal: Refusal) : ClaimSettlement
}
