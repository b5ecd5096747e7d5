package org.wisteriahinge.core.call

import org.wisteriahinge.core.model.RefusalReason
import org.wisteriahinge.core.model.ServiceId

/** A metric that counts decisions on calls. */
public sealed interface CallCounter {
    /** A call was refused by the load balancer. */
    public data class Refused(val reason: RefusalReason) : CallCounter

    /** A call was answered by a target with [status]. */
    public data class Answered(val service: ServiceId, val status: Int) : CallCounter

    /** An attempt failed. */
    public data class AttemptFailed(val service: ServiceId, val failure: AttemptFailure) :
        CallCounter

    /** An answer ended early after its delivery began. */
    public data class Truncated(val service: ServiceId) : CallCounter
}
