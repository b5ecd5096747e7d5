package org.wisteriahinge.runtime

import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.wisteriahinge.core.watch.TopicPosition

/** Changes that are kept for followers; one that is further behind reads the newest records. */
private const val MAX_RECENT_RECORDS = 2_048

/** Which records of a topic its followers need. */
public sealed interface RecordFilter {
    /** Followers need every record. */
    public data object EveryRecord : RecordFilter

    /**
     * Followers need a record if its [projection] differs from that of the key's last record, or
     * is null.
     *
     * Entries that writers repeat every second without a change are then not sent to followers.
     */
    public class ChangedRecords(public val projection: (KeyedRecord) -> Any?) : RecordFilter
}

/** The newest record of a key with its [projection]. */
public class MirroredRecord(public val record: KeyedRecord, internal val projection: Any?)

/**
 * The records read from a topic: the newest one of each key, and recent ones that followers need.
 *
 * @property recent the records that followers need, in order; complete from [first] on.
 * @property next the position of the next record to read from the topic.
 * @property currentAsOf all that was written to the topic before this moment is known; null if no
 * such moment is known.
 */
public data class MirroredRecords(
    private val filter: RecordFilter,
    private val byKey: PersistentMap<String, MirroredRecord> = persistentHashMapOf(),
    val recent: PersistentList<KeyedRecord> = persistentListOf(),
    val first: TopicPosition = TopicPosition.Start,
    val next: TopicPosition = TopicPosition.Start,
    val currentAsOf: Instant? = null
) {
    /** The newest record of each key that has a value. */
    val newest: List<KeyedRecord> get() = byKey.values.map { it.record }

    internal fun withNewest(read: TopicRecords): MirroredRecords =
        read.records.fold(copy(byKey = persistentHashMapOf())) { all, record ->
            all.withRecord(record)
        }
            .copy(
                recent = persistentListOf(),
                first = read.next,
                next = read.next,
                currentAsOf = latest(read.currentAsOf)
            )

    internal fun withChanges(read: TopicRecords): MirroredRecords =
        read.records.fold(this) { all, record -> all.withRecord(record) }
            .trimmed()
            .copy(next = read.next, currentAsOf = latest(read.currentAsOf))

    private fun latest(other: Instant?): Instant? = listOfNotNull(currentAsOf, other).maxOrNull()

    private fun withRecord(record: KeyedRecord): MirroredRecords {
        val projected = projectionOf(record)
        val repeats = projected != null && projected == byKey[record.key]?.projection
        return copy(
            byKey = if (record.value == null) {
                byKey.remove(record.key)
            } else {
                byKey.put(record.key, MirroredRecord(record, projected))
            },
            recent = if (repeats) recent else recent.add(record)
        )
    }

    private fun projectionOf(record: KeyedRecord): Any? = when (filter) {
        RecordFilter.EveryRecord -> null
        is RecordFilter.ChangedRecords -> filter.projection(record)
    }

    private fun trimmed(): MirroredRecords {
        if (recent.size <= MAX_RECENT_RECORDS) return this
        val dropped = recent.size - MAX_RECENT_RECORDS
        return copy(
            recent = recent.drop(dropped).toPersistentList(),
            first = recent[dropped - 1].position.next()
        )
    }

    /** Whether all that was written until [maxAge] before [now] is known. */
    public fun isCurrent(now: Instant, maxAge: Duration): Boolean =
        currentAsOf != null && currentAsOf >= now - maxAge

    /** The needed records from [from] on; null if they are no longer all kept. */
    public fun since(from: TopicPosition): PersistentList<KeyedRecord>? = when {
        from < first -> null
        else -> recent.dropWhile { it.position < from }.toPersistentList()
    }
}
