package org.wisteriahinge.core.configuration

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.wisteriahinge.core.model.RevisionNumber

/** What a record of the stream `configuration` came to. */
public sealed interface RecordVerdict {
    /** It came into force as [number]. */
    public data class Accepted(val number: RevisionNumber) : RecordVerdict

    /** It replaces another revision than the one that was in force before it. */
    public data class Superseded(val inForce: RevisionNumber) : RecordVerdict

    /** Its lists do not validate. */
    public data object Invalid : RecordVerdict

    /** It cannot be decoded. */
    public data object Unreadable : RecordVerdict
}

/** A record with its verdict. */
public data class EvaluatedRecord(val record: ConfigurationRecord, val verdict: RecordVerdict)

/**
 * The records after a snapshot, or from the start of the log, with their verdicts, and the
 * revision in force after them.
 *
 * [inForce] is null before the first revision.
 */
public data class RevisionHistory(
    val inForce: RevisionCheckpoint?,
    val records: PersistentList<EvaluatedRecord> = persistentListOf()
) {
    /** Number of the revision in force; 0 before the first one. */
    public val number: RevisionNumber get() = inForce?.revision ?: RevisionNumber.None

    /** The record that came into force under [publicationId]; null when none did. */
    public fun acceptanceOf(publicationId: String): RecordVerdict.Accepted? = records
        .filter { it.record.revision?.publicationId == publicationId }
        .firstNotNullOfOrNull { it.verdict as? RecordVerdict.Accepted }

    /** Whether the log has a record with [publicationId], whatever its verdict. */
    public fun containsPublication(publicationId: String): Boolean =
        records.any { it.record.revision?.publicationId == publicationId }

    /** Judges [record], which follows the records so far. */
    public fun add(record: ConfigurationRecord, reader: ListReader): RevisionHistory {
        val verdict = evaluate(record, reader)
        val evaluated = records.add(EvaluatedRecord(record, verdict))
        val revision = record.revision
        return if (verdict is RecordVerdict.Accepted && revision != null) {
            RevisionHistory(
                RevisionCheckpoint(verdict.number, record.offset + 1, revision.lists),
                evaluated
            )
        } else {
            copy(records = evaluated)
        }
    }

    private fun evaluate(record: ConfigurationRecord, reader: ListReader): RecordVerdict {
        val revision = record.revision ?: return RecordVerdict.Unreadable
        return when {
            revision.replaces != number -> RecordVerdict.Superseded(number)
            reader.read(revision.lists, revision.number) == null -> RecordVerdict.Invalid
            else -> RecordVerdict.Accepted(revision.number)
        }
    }
}
