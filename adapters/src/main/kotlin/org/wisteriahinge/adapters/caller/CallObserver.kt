package org.wisteriahinge.adapters.caller

import java.time.Duration
import org.wisteriahinge.core.call.CallRequest

/**
 * A call that has ended.
 *
 * [outcome] is `delivered`, `retained`, `broken`, `caller_gone` or the name of a refusal reason.
 * [targetTime] is the time from sending the request to the head of the delivered answer.
 */
public class EndedCall(
    public val request: CallRequest,
    public val outcome: String,
    public val elapsed: Duration,
    public val targetTime: Duration?
) {
    /** Latency added by this instance; null if no answer of a target was delivered. */
    public val added: Duration? get() = targetTime?.let(elapsed::minus)
}

/** Is notified of each call when it has ended. Called on the I/O thread; must not block. */
public fun interface CallObserver {
    public fun ended(call: EndedCall)

    public companion object {
        /** Ignores all calls. */
        public val None: CallObserver = CallObserver { }
    }
}
