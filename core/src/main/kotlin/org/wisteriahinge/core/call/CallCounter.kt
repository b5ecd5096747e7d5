package org.wisteriahinge.core.call

import org.wisteriahinge.core.clients.ClientAddress
import org.wisteriahinge.core.clients.ClientClosing
import org.wisteriahinge.core.model.CustomerId
import org.wisteriahinge.core.model.RefusalReason
import org.wisteriahinge.core.model.ServiceId
import org.wisteriahinge.core.retry.RetryDenial
import org.wisteriahinge.core.retry.RetryReason

/** What became of a request that some targets must not get because of their rate limits. */
public sealed class RateLimitOutcome(public val wireName: String) {
    /** Another target got it. */
    public data object PassedOver : RateLimitOutcome("passed_over")

    /** It was refused, because no target may take it. */
    public data object Refused : RateLimitOutcome("refused")
}

/** What became of a call whose customer has a quota. */
public sealed class QuotaOutcome(public val wireName: String) {
    /** It got a token. */
    public data object Granted : QuotaOutcome("granted")

    /** The quota was used up. */
    public data object Exceeded : QuotaOutcome("exceeded")

    /** No relay that grants tokens could be asked. */
    public data object Unavailable : QuotaOutcome("unavailable")
}

/** Why a call got no part of the room that the targets of its service have. */
public sealed class RoomDenial(public val wireName: String) {
    /** No target can answer it before its deadline. */
    public data object Hopeless : RoomDenial("hopeless")

    /** Its customer sent far more than usual. */
    public data object AboveShare : RoomDenial("above_share")

    /** It came back earlier than its caller was asked to wait. */
    public data object Early : RoomDenial("early")

    /** The targets in its survey have no room for calls of its rank. */
    public data object Full : RoomDenial("full")
}

/** A counter metric of events and decisions on calls, with its labels. */
public sealed interface CallCounter {
    /** A call was refused by the load balancer. */
    public data class Refused(val reason: RefusalReason) : CallCounter

    /** A call of [service] was refused because of the room that its targets have. */
    public data class RoomDenied(val service: ServiceId, val denial: RoomDenial) : CallCounter

    /** A call was answered by a target with [status]. */
    public data class Answered(val service: ServiceId, val status: Int) : CallCounter

    /** An attempt failed. */
    public data class AttemptFailed(val service: ServiceId, val failure: AttemptFailure) :
        CallCounter

    /** Another attempt was started after one that failed. */
    public data class Retried(val service: ServiceId, val reason: RetryReason) : CallCounter

    /** No other attempt was started after one that failed. */
    public data class RetryDenied(val service: ServiceId, val denial: RetryDenial) : CallCounter

    /** A hedge was started because the first attempt was slow. */
    public data class Hedged(val service: ServiceId) : CallCounter

    /** A slow attempt was not hedged. */
    public data class HedgeDenied(val service: ServiceId, val denial: RetryDenial) : CallCounter

    /** A hedge answered before the first attempt. */
    public data class HedgeWon(val service: ServiceId) : CallCounter

    /** An attempt was sent to another instance. */
    public data class HandedOver(val service: ServiceId, val cause: HandoverCause) : CallCounter

    /** An attempt of this instance ended in a way that may be a crash caused by the request. */
    public data class CrashSuspected(val service: ServiceId) : CallCounter

    /** A target was probed for its load. */
    public data class ProbeSent(val service: ServiceId) : CallCounter

    /** A probe brought no load report. */
    public data class ProbeFailed(val service: ServiceId) : CallCounter

    /** The rate limits of targets allowed no request of this instance. */
    public data class RateLimited(val service: ServiceId, val outcome: RateLimitOutcome) :
        CallCounter

    /** A connection to [address] was closed for [reason]. */
    public data class ClientClosed(val address: ClientAddress, val reason: ClientClosing) :
        CallCounter

    /** A call needed a token of its customer's quota. */
    public data class Quota(val customer: CustomerId, val outcome: QuotaOutcome) : CallCounter

    /** An answer ended early after its delivery began. */
    public data class Truncated(val service: ServiceId) : CallCounter
}
