package org.wisteriahinge.core.routing

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.wisteriahinge.core.model.ServiceId
import org.wisteriahinge.core.model.Target
import org.wisteriahinge.core.model.TargetId
import org.wisteriahinge.core.model.WorkClass

/**
 * What a target is needed for.
 *
 * Targets in [exclude] were tried by earlier attempts. [bodyBytes] is the length of the body.
 * While one of the targets in [among] can be used, no other is.
 */
public data class TargetRequest(
    val service: ServiceId,
    val workClass: WorkClass,
    val exclude: PersistentSet<TargetId> = persistentSetOf(),
    val bodyBytes: Long = 0,
    val among: PersistentSet<TargetId> = persistentSetOf()
)

/** The outcome of choosing a target. */
public sealed interface TargetChoice {
    /** [target] is to be used; [routing] is the state after the choice. */
    public data class Chosen(val routing: RoutingState, val target: Target) : TargetChoice

    /** No target of the service is available. */
    public data object NoTarget : TargetChoice
}
