package org.wisteriahinge.core.call

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentSet
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
import org.wisteriahinge.core.model.TargetId
import org.wisteriahinge.core.once.ClaimSettlement

/** What can happen to the calls of an instance. */
public sealed interface CallEvent {
    /** An event of one attempt. */
    public sealed interface AttemptEvent : CallEvent

    /** A caller's request whose head was read and checked. */
    public data class Arrived(val request: CallRequest) : CallEvent

    /** The head of a target's answer arrived. [load] is the target's own report, if it sent one. */
    public data class Answered(
        val callId: CallId,
        val attemptId: AttemptId,
        val status: Int,
        val load: LoadReport?
    ) : AttemptEvent

    /** An attempt ended without an answer. [replayable]: the body can be sent again. */
    public data class AttemptFailed(
        val callId: CallId,
        val attemptId: AttemptId,
        val failure: AttemptFailure,
        val replayable: Boolean,
        val load: LoadReport? = null
    ) : AttemptEvent

    /** The whole answer was passed to the caller. */
    public data class Completed(val callId: CallId, val attemptId: AttemptId) : AttemptEvent

    /** The target's answer ended early after its delivery began. */
    public data class Truncated(val callId: CallId, val attemptId: AttemptId) : AttemptEvent

    /** The caller closed its connection before its answer was complete. */
    public data class CallerGone(val callId: CallId) : CallEvent

    /** A report of a target's load from outside a call, for example from a probe. */
    public data class LoadReported(val targetId: TargetId, val load: LoadReport) : CallEvent

    /** What another duty decided. */
    public sealed interface DutyDecision : CallEvent

    /** A revision of the operators' lists came into force. */
    public data class Configured(val configuration: Configuration) : DutyDecision

    /** A registry lists the targets of all services; replaces those of the operators' lists. */
    public data class TargetsListed(val targets: ListedTargets) : DutyDecision

    /** The `once` duty settled the claim of a call. */
    public data class ClaimSettled(val callId: CallId, val settlement: ClaimSettlement) :
        DutyDecision

    /** The front end captured the whole answer that it delivers, for later resends. */
    public data class AnswerCaptured(val callId: CallId, val answer: RetainedAnswer) : DutyDecision

    /** The peer [from] reported requests that crashed servers. */
    public data class QuarantineReported(
        val from: InstanceId,
        val notices: PersistentList<QuarantineNotice>
    ) : CallEvent

    /** The `limits` duty announced the shares that may be used from now on. */
    public data class SharesChanged(val shares: UsableShares) : DutyDecision

    /** A probe of [target] brought no load report. */
    public data class ProbeFailed(val target: TargetId) : CallEvent

    /** The peer [from] told what it knows of targets. */
    public data class PeerLoads(val from: InstanceId, val loads: PersistentList<TargetLoad>) :
        CallEvent

    /** The instances that take part, [self] included, changed. */
    public data class MembersChanged(val self: InstanceId, val live: PersistentSet<InstanceId>) :
        CallEvent

    /** Time passed; queued calls and deadlines are looked at. */
    public data object Ticked : CallEvent
}
