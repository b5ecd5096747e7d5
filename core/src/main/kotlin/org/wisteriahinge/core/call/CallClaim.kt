package org.wisteriahinge.core.call

import org.wisteriahinge.core.membership.RetainedAnswer

/** State of a call's claim on its idempotency key. */
public sealed interface CallClaim {
    /** No claim: the operation needs none, or the call no longer holds one. */
    public data object None : CallClaim

    /** The call waits for the `once` duty to settle the claim and occupies no target meanwhile. */
    public data object Waiting : CallClaim

    /**
     * The call holds the key.
     *
     * [answer] is set once the front end has captured the whole answer for later resends.
     */
    public data class Held(val answer: RetainedAnswer? = null) : CallClaim
}
