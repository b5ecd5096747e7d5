package org.wisteriahinge.core.configuration

import java.time.Instant
import org.wisteriahinge.core.model.RevisionNumber

/**
 * A revision as read from the stream `configuration`.
 *
 * [publicationId] lets a publisher find its own record after a lost answer.
 */
public data class PublishedRevision(
    val offset: Long,
    val publicationId: String,
    val replaces: RevisionNumber,
    val lists: ListTexts
) {
    /** The number that the revision gets when it is accepted. */
    val number: RevisionNumber get() = RevisionNumber(replaces.value + 1)
}

/** A record of the stream `configuration`; [revision] is null when it cannot be decoded. */
public data class ConfigurationRecord(val offset: Long, val revision: PublishedRevision?)

/**
 * A revision in force before the record at [nextOffset] of the stream `configuration`.
 *
 * Whoever holds it can decide on every record from [nextOffset] on.
 */
public data class RevisionCheckpoint(
    val revision: RevisionNumber,
    val nextOffset: Long,
    val lists: ListTexts
)

/** A record of the stream `configuration-snapshot`, found at [streamOffset]. */
public data class SnapshotRecord(
    val streamOffset: Long,
    val writtenAt: Instant,
    val checkpoint: RevisionCheckpoint
)
