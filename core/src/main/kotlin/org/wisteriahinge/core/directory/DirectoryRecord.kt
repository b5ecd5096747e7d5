package org.wisteriahinge.core.directory

import java.time.Duration
import java.time.Instant
import org.wisteriahinge.core.model.Address
import org.wisteriahinge.core.model.ServiceId
import org.wisteriahinge.core.model.TargetId
import org.wisteriahinge.core.model.Zone
import org.wisteriahinge.core.watch.TopicPosition

/** Whether a target accepts new requests, according to its registry entry. */
public sealed interface TargetReadiness {
    public data object Ready : TargetReadiness

    /** It finishes the requests in flight and stops. */
    public data object Draining : TargetReadiness
}

/**
 * The registry entry of a target.
 *
 * The target is expected to be slow for [coldFor] after the entry was written. [startedAt] is the
 * start of its process, which distinguishes restarts under one id; null if the registry has none.
 */
public data class TargetEntry(
    val service: ServiceId,
    val zone: Zone,
    val address: Address,
    val slots: Int,
    val readiness: TargetReadiness,
    val coldFor: Duration,
    val startedAt: Instant? = null
) {
    /**
     * This entry with the remaining cold time reduced to zero or not zero, so that the periodic
     * entries of an unchanged target are equal.
     */
    public fun normalized(): TargetEntry =
        copy(coldFor = if (coldFor.isZero) Duration.ZERO else NORMALIZED_COLD_TIME)
}

private val NORMALIZED_COLD_TIME: Duration = Duration.ofMillis(1)

/** A registry record on the target [id]. Of two records, the one at the later [position] holds. */
public sealed interface DirectoryRecord {
    public val id: TargetId
    public val position: TopicPosition

    /** The target is registered with [entry]. */
    public data class Listed(
        override val id: TargetId,
        override val position: TopicPosition,
        val entry: TargetEntry
    ) : DirectoryRecord

    /** The entry was removed by the target, or expired because the target did not renew it. */
    public data class Removed(override val id: TargetId, override val position: TopicPosition) :
        DirectoryRecord

    /** The entry cannot be used; [problem] says why. */
    public data class Unusable(
        override val id: TargetId,
        override val position: TopicPosition,
        val problem: String
    ) : DirectoryRecord
}
