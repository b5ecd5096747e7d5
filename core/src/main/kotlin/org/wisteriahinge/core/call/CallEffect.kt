package org.wisteriahinge.core.call

import java.time.Instant
import kotlinx.collections.immutable.PersistentList
import org.wisteriahinge.core.membership.QuarantineNotice
import org.wisteriahinge.core.model.AttemptId
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.Refusal
import org.wisteriahinge.core.model.Target

/**
 * One attempt of a call at one target. [number] starts at 1.
 *
 * [noRetry] asks the layers behind the target not to retry: this attempt is itself a retry or a
 * hedge, or an outer layer retries.
 */
public data class Attempt(
    val id: AttemptId,
    val number: Int,
    val target: Target,
    val deadline: Instant,
    val noRetry: Boolean = false
)

/** What the decisions on calls ask their surroundings to do. */
public sealed interface CallEffect {
    /** An effect for the front end that holds the call [callId]. */
    public sealed interface ForCall : CallEffect {
        public val callId: CallId
    }

    /** Send the request to the attempt's target. */
    public data class Forward(override val callId: CallId, val attempt: Attempt) : ForCall

    /** Pass the answer of [attemptId] to the caller. */
    public data class Deliver(override val callId: CallId, val attemptId: AttemptId) : ForCall

    /** Abandon [attemptId] and close its connection. */
    public data class CancelAttempt(override val callId: CallId, val attemptId: AttemptId) : ForCall

    /** Answer the caller with [refusal]. */
    public data class Refuse(override val callId: CallId, val refusal: Refusal) : ForCall

    /** The call ended; its front end needs no further effect. */
    public data class Finished(override val callId: CallId) : ForCall

    /** Tell all peers at once that these requests crashed servers. */
    public data class ReportQuarantine(val notices: PersistentList<QuarantineNotice>) : CallEffect

    /** The part of the suspects that the next heartbeats carry; replaces the previous part. */
    public data class SummarizeQuarantine(val notices: PersistentList<QuarantineNotice>) :
        CallEffect

    /** Add one to a metric. */
    public data class Count(val counter: CallCounter) : CallEffect
}
