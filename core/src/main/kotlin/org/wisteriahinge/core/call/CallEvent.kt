package org.wisteriahinge.core.call

import java.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentSet
import org.wisteriahinge.core.handover.PeerInstance
import org.wisteriahinge.core.keys.ClockReading
import org.wisteriahinge.core.limits.UsableShares
import org.wisteriahinge.core.membership.QuarantineNotice
import org.wisteriahinge.core.membership.RetainedAnswer
import org.wisteriahinge.core.membership.TargetLoad
import org.wisteriahinge.core.model.AttemptId
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.Configuration
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.core.model.ListedTargets
import org.wisteriahinge.core.model.LoadReport
import org.wisteriahinge.core.model.RequestDigest
import org.wisteriahinge.core.model.TargetId
import org.wisteriahinge.core.model.TargetStatement
import org.wisteriahinge.core.model.Zone
import org.wisteriahinge.core.once.ClaimSettlement
import org.wisteriahinge.core.quarantine.ServerCheckOutcome
import org.wisteriahinge.core.ratelimit.RateLimitShare

/** An input to [CallsState.decide]: everything that can change the calls of an instance. */
public sealed interface CallEvent {
    /** An event that concerns one attempt of a call. */
    public sealed interface AttemptEvent : CallEvent

    /** A caller's request arrived; its head was read and is well-formed. */
    public data class Arrived(val request: CallRequest) : CallEvent

    /** The head of a target's answer arrived, with what the target says of its load and itself. */
    public data class Answered(
        val callId: CallId,
        val attemptId: AttemptId,
        val status: Int,
        val load: LoadReport?,
        val statement: TargetStatement? = null
    ) : AttemptEvent

    /** An attempt ended without an answer. [replayable] is true if the body can be sent again. */
    public data class AttemptFailed(
        val callId: CallId,
        val attemptId: AttemptId,
        val failure: AttemptFailure,
        val replayable: Boolean,
        val load: LoadReport? = null,
        val statement: TargetStatement? = null
    ) : AttemptEvent

    /** The whole answer was passed to the caller. */
    public data class Completed(val callId: CallId, val attemptId: AttemptId) : AttemptEvent

    /** The target's answer ended early after its delivery began. */
    public data class Truncated(val callId: CallId, val attemptId: AttemptId) : AttemptEvent

    /** The caller closed its connection before its answer was complete. */
    public data class CallerGone(val callId: CallId) : CallEvent

    /** A target's load report arrived outside a call, for example in the answer to a probe. */
    public data class LoadReported(
        val targetId: TargetId,
        val load: LoadReport,
        val statement: TargetStatement? = null
    ) : CallEvent

    /** A decision of another duty that the calls depend on. */
    public sealed interface DutyDecision : CallEvent

    /** A new revision of the operators' lists came into force. */
    public data class Configured(val configuration: Configuration) : DutyDecision

    /** The configuration in force, and no newer one, was in the store at [moment]. */
    public data class ConfigurationConfirmed(val moment: ClockReading) : DutyDecision

    /** The registry listed the targets of all services; replaces those of the operators' lists. */
    public data class TargetsListed(val targets: ListedTargets) : DutyDecision

    /** The operator evacuated exactly these [zones]; their listed targets get nothing more. */
    public data class ZonesEvacuated(val zones: PersistentSet<Zone>) : DutyDecision

    /** The `once` duty settled the claim of a call. */
    public data class ClaimSettled(val callId: CallId, val settlement: ClaimSettlement) :
        DutyDecision

    /** The front end captured the complete answer, so that it can be resent later. */
    public data class AnswerCaptured(val callId: CallId, val answer: RetainedAnswer) : DutyDecision

    /** News about requests that crash backend servers. */
    public sealed interface CrashEvent : CallEvent

    /** The peer [from] reported requests that are suspected of crashing backend servers. */
    public data class QuarantineReported(
        val from: InstanceId,
        val notices: PersistentList<QuarantineNotice>
    ) : CrashEvent

    /** A check of [target] ended with [outcome]. */
    public data class ServerChecked(val target: TargetId, val outcome: ServerCheckOutcome) :
        CrashEvent

    /** The instance [from] has counted [crashes] of the request with [digest]. */
    public data class CrashesShared(
        val digest: RequestDigest,
        val from: InstanceId,
        val crashes: Int
    ) : CrashEvent

    /** Another instance cleared the crashes that this one counted of the request with [digest]. */
    public data class CrashesCleared(val digest: RequestDigest) : CrashEvent

    /** The `limits` duty changed the shares of the plans that this instance may use from now on. */
    public data class SharesChanged(val shares: UsableShares) : DutyDecision

    /** The part of the targets' rate limits that this instance may use changed. */
    public data class RateLimitShareChanged(val share: RateLimitShare) : DutyDecision

    /** The registry listed the other instances, which take calls that cannot be served here. */
    public data class PeersListed(val peers: PersistentList<PeerInstance>) : DutyDecision

    /** A probe of [target] brought no load report. */
    public data class ProbeFailed(val target: TargetId, val statement: TargetStatement? = null) :
        CallEvent

    /** The peer [from] sent its load information about targets. */
    public data class PeerLoads(val from: InstanceId, val loads: PersistentList<TargetLoad>) :
        CallEvent

    /** The set of live instances, which includes [self], changed. */
    public data class MembersChanged(val self: InstanceId, val live: PersistentSet<InstanceId>) :
        CallEvent

    /** The time of day is ahead of the steady clock by [timeOfDayLead]. */
    public data class ClocksCompared(val timeOfDayLead: Duration) : CallEvent

    /** Periodic tick that triggers time-based work: timeouts, queued calls, hedges and probes. */
    public data object Ticked : CallEvent
}
