package org.wisteriahinge.core.ratelimit

/** Whether a request goes first where a rate limit does not allow all. */
public sealed class RequestUrgency(internal val neededTokens: Double) {
    /** No other requests of the service are more urgent. */
    public data object First : RequestUrgency(neededTokens = 1.0)

    /**
     * Other requests of the service are more urgent. Each permit is kept free for them for a while
     * after it became available, and used by other requests only after that.
     */
    public data object Later : RequestUrgency(neededTokens = 1.25)
}
