package org.wisteriahinge.core.call

import org.wisteriahinge.core.model.Execution
import org.wisteriahinge.core.model.Refusal

/** How a call ended. */
public sealed interface CallEnd {
    /** A target's answer, complete or truncated, was delivered to the caller. */
    public data object Answered : CallEnd

    /** The load balancer refused the call. */
    public data class Refused(val refusal: Refusal) : CallEnd

    /** The caller closed its connection; [execution] tells whether the request may have run. */
    public data class CallerGone(val execution: Execution) : CallEnd
}
