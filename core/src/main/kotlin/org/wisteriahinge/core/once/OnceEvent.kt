package org.wisteriahinge.core.once

import java.time.Instant
import kotlinx.collections.immutable.PersistentList
import org.wisteriahinge.core.membership.PeerOutcome
import org.wisteriahinge.core.membership.RetainedAnswer
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.IdempotencyKey
import org.wisteriahinge.core.model.InstanceId

/** An event for [OnceState.decide]. */
public sealed interface OnceEvent {
    /** A call needs a claim on [key] before it may be sent; it waits until [deadline] at most. */
    public data class Requested(
        val callId: CallId,
        val key: IdempotencyKey,
        val fingerprint: Fingerprint,
        val deadline: Instant
    ) : OnceEvent

    /** The call [callId], for which a claim was requested, ended with [result]. */
    public data class Ended(val callId: CallId, val result: ClaimResult) : OnceEvent

    /** The append [appendId] of the `log` duty ended with [outcome]. */
    public data class AppendSettled(val appendId: String, val outcome: AppendOutcome) : OnceEvent

    /** The offsets that the stream `claims` retains, read once when the instance starts. */
    public data class BoundsRead(val earliest: Long, val next: Long) : OnceEvent

    /** Records of the stream `claims` in order. */
    public data class Read(val batches: PersistentList<ReadBatch>) : OnceEvent

    /** Records before [earliest] expired before they were read, or the stream restarted there. */
    public data class Gap(val earliest: Long) : OnceEvent

    /** The instance [from] asks for the outcome of the request with [key]. */
    public data class OutcomeRequested(val from: InstanceId, val key: KeyDigest) : OnceEvent

    /** The instance that holds [key] replied to [OutcomeQuery]. */
    public data class OutcomeReported(val key: KeyDigest, val outcome: PeerOutcome) : OnceEvent

    /** The number of instances that share [OnceSettings.appendsPerSecond], this one included. */
    public data class LiveInstances(val count: Int) : OnceEvent

    /** Time passed; deadlines and the interval between appends are checked. */
    public data object Ticked : OnceEvent
}

/** How a call for which a claim was requested ended. */
public sealed interface ClaimResult {
    /** No target ran the call and none will. */
    public data object NotRun : ClaimResult

    /** A target answered; [answer] is null when it is too large to be kept for resends. */
    public data class Answered(val answer: RetainedAnswer?) : ClaimResult

    /** The call was sent and its outcome is unknown. */
    public data object Unknown : ClaimResult
}

/** The result of an append to the log. */
public sealed interface AppendOutcome {
    /** The record is in the log. */
    public data object Appended : AppendOutcome

    /** The log service refused the record or could not be reached; the record is not in the log. */
    public data object Rejected : AppendOutcome

    /** The log service's answer was lost; only reading the stream shows if the record is in it. */
    public data object Unknown : AppendOutcome
}
