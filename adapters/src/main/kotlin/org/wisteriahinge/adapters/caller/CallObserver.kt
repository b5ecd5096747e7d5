package org.wisteriahinge.adapters.caller

import java.time.Duration
import org.wisteriahinge.core.call.CallRequest

/** A call that has ended. [outcome] is `delivered`, `broken` or the name of a refusal reason. */
public class EndedCall(
    public val request: CallRequest,
    public val outcome: String,
    public val elapsed: Duration,
    public val targetTime: Duration?
) {
    /** Time that this instance added; null when no answer was delivered. */
    public val added: Duration? get() = targetTime?.let(elapsed::minus)
}

/** Sees each call when it has ended. */
public fun interface CallObserver {
    public fun ended(call: EndedCall)

    public companion object {
        /** Ignores all calls. */
        public val None: CallObserver = CallObserver { }
    }
}
