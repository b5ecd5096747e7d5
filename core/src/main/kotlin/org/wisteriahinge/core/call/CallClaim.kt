package org.wisteriahinge.core.call

import org.wisteriahinge.core.membership.RetainedAnswer

/** A call's claim on its idempotency key. */
public sealed interface CallClaim {
    /** The operation may be repeated; no claim is needed. */
    public data object None : CallClaim

    /** The call waits for the `once` duty and holds no target. */
    public data object Waiting : CallClaim

    /** The call holds the key. [answer] is set once the front end has captured the whole answer. */
    public data class Held(val answer: RetainedAnswer? = null) : CallClaim
}
