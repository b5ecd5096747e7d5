package org.wisteriahinge.core.directory

import java.time.Duration
import org.wisteriahinge.core.model.Address
import org.wisteriahinge.core.model.ServiceId
import org.wisteriahinge.core.model.TargetId
import org.wisteriahinge.core.model.Zone

/** Whether a target takes new work, by its own word. */
public sealed interface TargetStanding {
    public data object Ready : TargetStanding

    /** It finishes what it has and leaves. */
    public data object Draining : TargetStanding
}

/** A target as its registry entry describes it. It stays slow for [coldFor] after its start. */
public data class TargetEntry(
    val service: ServiceId,
    val zone: Zone,
    val address: Address,
    val slots: Int,
    val standing: TargetStanding,
    val coldFor: Duration
)

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
