package org.wisteriahinge.core.model

/** What an answer of a target says about the rate of requests that the target accepts. */
public sealed interface RateLimitReport {
    /** The target accepts [requestsPerSecond] from all instances together. */
    public data class Limited(val requestsPerSecond: Double) : RateLimitReport

    /** The answer names no limit. */
    public data object Unlimited : RateLimitReport

    /** The answer names a limit with the [value], which is not a rate. */
    public data class Invalid(val value: String) : RateLimitReport
}
