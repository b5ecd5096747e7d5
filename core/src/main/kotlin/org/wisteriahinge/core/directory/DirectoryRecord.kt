package org.wisteriahinge.core.directory

import java.time.Duration
import java.time.Instant
import org.wisteriahinge.core.model.Address
import org.wisteriahinge.core.model.ServiceId
import org.wisteriahinge.core.model.TargetId
import org.wisteriahinge.core.model.Zone

/** Whether a target takes new work, by its own word. */
public sealed interface TargetReadiness {
    public data object Ready : TargetReadiness

    /** It finishes what it has and leaves. */
    public data object Draining : TargetReadiness
}

/**
 * A target as its registry entry describes it.
 *
 * It stays slow for [coldFor] from the time of the entry. A target that starts again under its id
 * differs in [startedAt], where the registry tells it.
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
    /** The entry without what each of a target's regular entries changes. */
    public fun normalized(): TargetEntry =
        copy(coldFor = if (coldFor.isZero) Duration.ZERO else NORMALIZED_COLD_TIME)
}

private val NORMALIZED_COLD_TIME: Duration = Duration.ofMillis(1)

/** The newest word on the target [id]; a record with a higher [offset] replaces it. */
public sealed interface DirectoryRecord {
    public val id: TargetId
    public val offset: Long

    /** The target says that it is there. */
    public data class Listed(
        override val id: TargetId,
        override val offset: Long,
        val entry: TargetEntry
    ) : DirectoryRecord

    /** The entry was removed: the target left, or the registry has not heard of it. */
    public data class Removed(override val id: TargetId, override val offset: Long) :
        DirectoryRecord

    /** The entry does not describe a target; [problem] says why. */
    public data class Unusable(
        override val id: TargetId,
        override val offset: Long,
        val problem: String
    ) : DirectoryRecord
}
