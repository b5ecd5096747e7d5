package org.wisteriahinge.core.routing

import java.time.Instant
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.wisteriahinge.core.model.ServiceId
import org.wisteriahinge.core.model.Target
import org.wisteriahinge.core.model.TargetId
import org.wisteriahinge.core.model.WorkClass
import org.wisteriahinge.core.ratelimit.RequestUrgency

/**
 * The properties of a request that determine the choice of its target.
 *
 * [bodyBytes] is the length of the request body. Targets in [exclude] are not chosen, because
 * earlier attempts used them. Targets in [among] are chosen before all others while usable.
 * [urgency] decides which requests get the permits of a target with a rate limit first.
 */
public data class TargetRequest(
    val service: ServiceId,
    val workClass: WorkClass,
    val exclude: PersistentSet<TargetId> = persistentSetOf(),
    val bodyBytes: Long = 0,
    val among: PersistentSet<TargetId> = persistentSetOf(),
    val urgency: RequestUrgency = RequestUrgency.First
)

/** The result of [RoutingState.choose]. */
public sealed interface TargetChoice {
    /** The request goes to [target]; [routing] is the state after the choice. */
    public data class Chosen(val routing: RoutingState, val target: Target) : TargetChoice

    /** No target of the service is available. */
    public data object NoTarget : TargetChoice

    /**
     * Only targets are available whose rate limit allows no request of this instance now. One may
     * get a request at [nextPermitAt]; null if this instance has no part in their limits.
     */
    public data class RateLimited(val nextPermitAt: Instant?) : TargetChoice
}
