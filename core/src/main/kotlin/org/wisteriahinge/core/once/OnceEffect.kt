package org.wisteriahinge.core.once

import org.wisteriahinge.core.membership.PeerMessage
import org.wisteriahinge.core.membership.RetainedAnswer
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.core.model.Refusal

/** An effect of a decision on claims, performed by the `once` duty's effect sink. */
public sealed interface OnceEffect {
    /** Appends [batch] to the stream `claims`. */
    public data class Append(val batch: ClaimBatch) : OnceEffect

    /** Reports to the `calls` duty how the claim requested for [callId] was settled. */
    public data class Settle(val callId: CallId, val settlement: ClaimSettlement) : OnceEffect

    /** Sends [message] to the instance [to]. */
    public data class Send(val to: InstanceId, val message: PeerMessage) : OnceEffect
}

/** The result of requesting a claim for a call. */
public sealed interface ClaimSettlement {
    /** The call holds the key and may be sent. */
    public data object Granted : ClaimSettlement

    /** The same request was already answered with [answer]; the caller gets this answer. */
    public data class Answered(val answer: RetainedAnswer) : ClaimSettlement

    /** The call must not be sent; its caller gets [refusal]. */
    public data class Refused(val refusal: Refusal) : ClaimSettlement
}
