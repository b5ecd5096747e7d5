package org.wisteriahinge.core.ratelimit

import kotlinx.collections.immutable.PersistentList
import org.wisteriahinge.core.model.ServiceId
import org.wisteriahinge.core.model.TargetId

/**
 * The limit of a [target] in force at this instance: [requestsPerSecond] from all instances
 * together, and [ownPerSecond] from this one.
 */
public data class RateLimitStatus(
    val target: TargetId,
    val service: ServiceId,
    val requestsPerSecond: Double,
    val ownPerSecond: Double
)

/** News on the rate limits of targets, for logs and metrics. */
public sealed interface RateLimitNotice {
    /** [limits] are all limits that are in force now. */
    public data class Changed(val limits: PersistentList<RateLimitStatus>) : RateLimitNotice

    /** An answer of [target] named a limit with the [value], which is not used. */
    public data class Invalid(val target: TargetId, val value: String) : RateLimitNotice
}
