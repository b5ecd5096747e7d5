package org.wisteriahinge.core.call

import java.time.Instant
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import org.wisteriahinge.core.limits.Demand
import org.wisteriahinge.core.membership.QuarantineNotice
import org.wisteriahinge.core.membership.RetainedAnswer
import org.wisteriahinge.core.membership.TargetLoad
import org.wisteriahinge.core.model.AttemptId
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.CustomerId
import org.wisteriahinge.core.model.Refusal
import org.wisteriahinge.core.model.Target
import org.wisteriahinge.core.once.OnceEvent

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
    val noRetry: Boolean = false,
    val isRepeatable: Boolean = true
) {
    /** Whether an answer with [status] is delivered whatever else is known of the call. */
    public fun isDeliverable(status: Int): Boolean = !isServerError(status)
}

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

    /** Pass the answer of an earlier copy of the request to the caller; the call ends. */
    public data class DeliverRetained(override val callId: CallId, val answer: RetainedAnswer) :
        ForCall

    /** Ask the `once` duty for the idempotency key of a call, which waits for the settlement. */
    public data class Claim(val request: OnceEvent.Requested) : CallEffect

    /** Tell the `once` duty how a call that asked for a claim ended. */
    public data class EndClaim(val ended: OnceEvent.Ended) : CallEffect

    /** Tell all peers at once that these requests crashed servers. */
    public data class ReportQuarantine(val notices: PersistentList<QuarantineNotice>) : CallEffect

    /** The part of the suspects that the next heartbeats carry; replaces the previous part. */
    public data class PublishQuarantineSummary(val notices: PersistentList<QuarantineNotice>) :
        CallEffect

    /** Tell the `limits` duty what the customers could use. */
    public data class ReportDemand(val demands: PersistentMap<CustomerId, Demand>) : CallEffect

    /** Ask [target] for its load at [path], outside any call. */
    public data class Probe(val target: Target, val path: String) : CallEffect

    /** What the next heartbeats tell of targets; replaces what they told before. */
    public data class PublishLoads(val loads: PersistentList<TargetLoad>) : CallEffect

    /** Tell the operators how a call ended that took another course than one answered attempt. */
    public data class LogCall(val trace: CallTrace) : CallEffect

    /** Add one to a metric. */
    public data class Count(val counter: CallCounter) : CallEffect
}
