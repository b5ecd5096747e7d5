package org.wisteriahinge.core.handover

import org.wisteriahinge.core.model.CallBounds
import org.wisteriahinge.core.model.ForwardedIdentity
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.core.model.OperationId
import org.wisteriahinge.core.model.Repeatability
import org.wisteriahinge.core.model.ServiceId

/**
 * What the instance [from] decided on a call before it handed it over.
 *
 * The receiving instance chooses the target and does not hand the call over again. Service,
 * [repeatability] and [bounds] are those of the sender's configuration, which may be newer.
 * [callerAddress] is where the caller's connection came from. The sender has checked the caller's
 * key, unless [identity] is [ForwardedIdentity.AsSent].
 */
public data class HandedOverCall(
    val from: InstanceId,
    val service: ServiceId,
    val operation: OperationId,
    val repeatability: Repeatability,
    val bounds: CallBounds,
    val callerAddress: String?,
    val identity: ForwardedIdentity = ForwardedIdentity.AsSent
)

/** The way by which an attempt reaches a target. */
public sealed interface AttemptPath {
    /** Over a connection of this instance. */
    public data object Direct : AttemptPath

    /** Through another instance, which chooses the target. */
    public data class ThroughInstance(val peer: PeerInstance, val call: HandedOverCall) :
        AttemptPath
}
