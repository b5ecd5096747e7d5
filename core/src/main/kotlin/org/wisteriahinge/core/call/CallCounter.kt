package org.wisteriahinge.core.call

import org.wisteriahinge.core.model.RefusalReason
import org.wisteriahinge.core.model.ServiceId
import org.wisteriahinge.core.retry.RetryDenial
import org.wisteriahinge.core.retry.RetryReason

/** A metric that counts decisions on calls. */
public sealed interface CallCounter {
    /** A call was refused by the load balancer. */
    public data class Refused(val reason: RefusalReason) : CallCounter

    /** A call was answered by a target with [status]. */
    public data class Answered(val service: ServiceId, val status: Int) : CallCounter

    /** An attempt failed. */
    public data class AttemptFailed(val service: ServiceId, val failure: AttemptFailure) :
        CallCounter

    /** A failed attempt was followed by another one. */
    public data class Retried(val service: ServiceId, val reason: RetryReason) : CallCounter

    /** A failed attempt was not followed by another one. */
    public data class RetryDenied(val service: ServiceId, val denial: RetryDenial) : CallCounter

    /** A second attempt was started in parallel because the first was slow. */
    public data class Hedged(val service: ServiceId) : CallCounter

    /** A slow attempt was not hedged. */
    public data class HedgeDenied(val service: ServiceId, val denial: RetryDenial) : CallCounter

    /** A hedge answered before the first attempt. */
    public data class HedgeWon(val service: ServiceId) : CallCounter

    /** A request is suspected of a crash that this instance saw. */
    public data class CrashSuspected(val service: ServiceId) : CallCounter

    /** A target was asked for its load. */
    public data class ProbeSent(val service: ServiceId) : CallCounter

    /** A probe brought no load report. */
    public data class ProbeFailed(val service: ServiceId) : CallCounter

    /** An answer ended early after its delivery began. */
    public data class Truncated(val service: ServiceId) : CallCounter
}
