package org.wisteriahinge.core.configuration

import java.time.Instant
import org.wisteriahinge.core.model.RevisionNumber

/**
 * A revision as read from the stream `configuration`.
 *
 * @property publicationId lets a publisher find its own record when the answer to its append was
 * lost.
 * @property replaces the revision that must be in force for this one to be accepted.
 */
public data class PublishedRevision(
    val offset: Long,
    val publicationId: String,
    val replaces: RevisionNumber,
    val lists: ListTexts
) {
    /** The number of the revision if it is accepted. */
    val number: RevisionNumber get() = RevisionNumber(replaces.value + 1)
}

/** A record of the stream `configuration`; [revision] is null when it cannot be decoded. */
public data class ConfigurationRecord(val offset: Long, val revision: PublishedRevision?)

/**
 * The revision in force before the record at [nextOffset] of the stream `configuration`.
 *
 * An instance that starts from a checkpoint can decide on every record from [nextOffset] on.
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
