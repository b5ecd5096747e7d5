package org.wisteriahinge.core.once

import java.time.Instant
import kotlinx.collections.immutable.PersistentList
import org.wisteriahinge.core.membership.PeerOutcome
import org.wisteriahinge.core.membership.RetainedAnswer
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.IdempotencyKey
import org.wisteriahinge.core.model.InstanceId

/** What can happen to the claims of an instance. */
public sealed interface OnceEvent {
    /** A call needs [key] before it may be sent; it waits at most until [deadline]. */
    public data class Requested(
        val callId: CallId,
        val key: IdempotencyKey,
        val fingerprint: Fingerprint,
        val deadline: Instant
    ) : OnceEvent

    /** A call that asked for a claim ended. */
    public data class Ended(val callId: CallId, val result: ClaimResult) : OnceEvent

    /** The `log` duty finished the append [appendId]. */
    public data class AppendSettled(val appendId: String, val outcome: AppendOutcome) : OnceEvent

    /** The stream's retained offsets, read once when the instance starts. */
    public data class Bounded(val earliest: Long, val next: Long) : OnceEvent

    /** Records of the stream in order. */
    public data class Read(val batches: PersistentList<ReadBatch>) : OnceEvent

    /** Records before [earliest] expired unread. */
    public data class Gap(val earliest: Long) : OnceEvent

    /** The peer [from] asks for the outcome of the request with [key]. */
    public data class OutcomeRequested(val from: InstanceId, val key: KeyDigest) : OnceEvent

    /** A claim's holder answered. */
    public data class OutcomeReported(val key: KeyDigest, val outcome: PeerOutcome) : OnceEvent

    /** The number of instances that share the log's append budget, this one included. */
    public data class LiveInstances(val count: Int) : OnceEvent

    /** Time passed; deadlines and the pacing of appends are looked at. */
    public data object Ticked : OnceEvent
}

/** How a call that asked for a claim ended. */
public sealed interface ClaimResult {
    /** No target ran it and none will. */
    public data object NotRun : ClaimResult

    /** A target answered; [answer] is null when it is too large to keep. */
    public data class Answered(val answer: RetainedAnswer?) : ClaimResult

    /** It was sent and its outcome is unknown. */
    public data object Unknown : ClaimResult
}

/** What is known of an append. */
public sealed interface AppendOutcome {
    /** The record is in the log. */
    public data object Appended : AppendOutcome

    /** The log service refused it or could not be reached. */
    public data object Rejected : AppendOutcome

    /** The answer was lost; reading the stream shows whether it took effect. */
    public data object Unknown : AppendOutcome
}
