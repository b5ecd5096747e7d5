package org.wisteriahinge.core.call

import java.time.Instant
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import org.wisteriahinge.core.handover.AttemptPath
import org.wisteriahinge.core.limits.Demand
import org.wisteriahinge.core.membership.QuarantineNotice
import org.wisteriahinge.core.membership.RetainedAnswer
import org.wisteriahinge.core.membership.TargetLoad
import org.wisteriahinge.core.model.AttemptId
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.CustomerId
import org.wisteriahinge.core.model.ForwardedIdentity
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.core.model.Refusal
import org.wisteriahinge.core.model.RequestDigest
import org.wisteriahinge.core.model.Target
import org.wisteriahinge.core.once.OnceEvent
import org.wisteriahinge.core.quarantine.Witness
import org.wisteriahinge.core.quota.QuotaNotice
import org.wisteriahinge.core.quota.QuotaQuestion
import org.wisteriahinge.core.ratelimit.RateLimitNotice

/**
 * One attempt to have a call answered by one target. [number] starts at 1.
 *
 * If its [path] leads through another instance, [target] stands for that instance.
 *
 * An attempt that is not sent by [sendBy] has failed, because another instance may use the target's
 * rate limit by then; null if the target named no limit.
 *
 * [noRetry] asks the layers behind the target not to retry, because this attempt is itself a retry
 * or a hedge, or because an outer layer retries.
 *
 * [identity] is what the target learns about the caller.
 */
public data class Attempt(
    val id: AttemptId,
    val number: Int,
    val target: Target,
    val deadline: Instant,
    val noRetry: Boolean = false,
    val isRepeatable: Boolean = true,
    val sendBy: Instant? = null,
    val path: AttemptPath = AttemptPath.Direct,
    val identity: ForwardedIdentity = ForwardedIdentity.AsSent
) {
    /** Whether an answer with [status] is always delivered, without considering a retry. */
    public fun isDeliverable(status: Int): Boolean = !isServerError(status)
}

/** An action that a decision on calls requests from the code around it. */
public sealed interface CallEffect {
    /** An effect that the front end holding the call [callId] performs. */
    public sealed interface ForCall : CallEffect {
        public val callId: CallId
    }

    /** Send the request to the attempt's target. */
    public data class Forward(override val callId: CallId, val attempt: Attempt) : ForCall

    /** Deliver the answer of [attemptId] to the caller. */
    public data class Deliver(override val callId: CallId, val attemptId: AttemptId) : ForCall

    /** Abandon [attemptId] and close its connection. */
    public data class CancelAttempt(override val callId: CallId, val attemptId: AttemptId) : ForCall

    /** Answer the caller with [refusal]. */
    public data class Refuse(override val callId: CallId, val refusal: Refusal) : ForCall

    /** The call ended; no further effect follows for it. */
    public data class Finished(override val callId: CallId) : ForCall

    /** Deliver the retained answer of an earlier copy of the request; the call ends. */
    public data class DeliverRetained(override val callId: CallId, val answer: RetainedAnswer) :
        ForCall

    /** Ask the `once` duty to claim a call's idempotency key. The call waits for the settlement. */
    public data class Claim(val request: OnceEvent.Requested) : CallEffect

    /** Tell the `once` duty how a call that had requested a claim ended. */
    public data class EndClaim(val ended: OnceEvent.Ended) : CallEffect

    /** Tell all peers immediately that these requests are suspected of crashing backend servers. */
    public data class ReportQuarantine(val notices: PersistentList<QuarantineNotice>) : CallEffect

    /** Set the suspects that the next heartbeats carry. Replaces those set before. */
    public data class PublishQuarantineSummary(val notices: PersistentList<QuarantineNotice>) :
        CallEffect

    /**
     * Check whether the process of [target] still runs, by a request for [path]. If it does not
     * answer, an answer of one of the [witnesses] shows that the network is not the cause.
     */
    public data class CheckServer(
        val target: Target,
        val path: String,
        val witnesses: PersistentList<Witness>
    ) : CallEffect

    /** Tell all instances that this one counted [crashes] of the request with [digest]. */
    public data class ShareCrashes(val digest: RequestDigest, val crashes: Int) : CallEffect

    /** Clear the counts of this instance and of [instances], because the request was answered. */
    public data class ClearCrashes(
        val digest: RequestDigest,
        val instances: PersistentSet<InstanceId>
    ) : CallEffect

    /** Tell the `limits` duty how much of their plans the customers could use. */
    public data class ReportDemand(val demands: PersistentMap<CustomerId, Demand>) : CallEffect

    /** Request a load report from [target] at [path], outside any call. */
    public data class Probe(val target: Target, val path: String) : CallEffect

    /** Set the target loads that the next heartbeats carry. Replaces those set before. */
    public data class PublishLoads(val loads: PersistentList<TargetLoad>) : CallEffect

    /** Tell the duty that leases rate limits whether this instance knows of any. */
    public data class RequestRateLimitShare(val isNeeded: Boolean) : CallEffect

    /** Ask a relay for tokens of customers' quotas. */
    public data class AskQuota(val question: QuotaQuestion) : CallEffect

    /** Log and measure news on the relays that grant tokens. */
    public data class NotifyQuota(val notice: QuotaNotice) : CallEffect

    /** Log and measure news on the rate limits of targets. */
    public data class NotifyRateLimit(val notice: RateLimitNotice) : CallEffect

    /** Log a call that ended in any other way than by the answer of its only attempt. */
    public data class LogCall(val trace: CallTrace) : CallEffect

    /** Increment a metric. */
    public data class Count(val counter: CallCounter) : CallEffect
}
