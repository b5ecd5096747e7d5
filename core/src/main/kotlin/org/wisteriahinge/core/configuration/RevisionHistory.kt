package org.wisteriahinge.core.configuration

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.wisteriahinge.core.model.RevisionNumber

/** The result of evaluating a record of the stream `configuration`. */
public sealed interface RecordVerdict {
    /** The record came into force as the revision [number]. */
    public data class Accepted(val number: RevisionNumber) : RecordVerdict

    /** The record does not replace [inForce], the revision in force before it. */
    public data class Superseded(val inForce: RevisionNumber) : RecordVerdict

    /** The record's lists are invalid. */
    public data object Invalid : RecordVerdict

    /** The record cannot be decoded. */
    public data object Unreadable : RecordVerdict
}

/** A record with its verdict. */
public data class EvaluatedRecord(val record: ConfigurationRecord, val verdict: RecordVerdict)

/**
 * The evaluated records after a snapshot, or from the start of the log.
 *
 * @property inForce the revision in force after [records]; null before the first revision.
 */
public data class RevisionHistory(
    val inForce: RevisionCheckpoint?,
    val records: PersistentList<EvaluatedRecord> = persistentListOf()
) {
    /** Number of the revision in force; 0 before the first one. */
    public val number: RevisionNumber get() = inForce?.revision ?: RevisionNumber.None

    /** The verdict on the record with [publicationId] that came into force; null if none did. */
    public fun acceptanceOf(publicationId: String): RecordVerdict.Accepted? = records
        .filter { it.record.revision?.publicationId == publicationId }
        .firstNotNullOfOrNull { it.verdict as? RecordVerdict.Accepted }

    /** Whether [records] has a record with [publicationId], whatever its verdict. */
    public fun containsPublication(publicationId: String): Boolean =
        records.any { it.record.revision?.publicationId == publicationId }

    /** Evaluates and adds [record], which must follow [records] in the log. */
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
