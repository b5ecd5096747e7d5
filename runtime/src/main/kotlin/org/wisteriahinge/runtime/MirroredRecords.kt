package org.wisteriahinge.runtime

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList

/** Records kept for followers that are behind; those further behind read the newest anew. */
private const val MAX_RECENT_RECORDS = 2_048

/** Which records of a topic its followers need to see. */
public sealed interface RecordFilter {
    /** Each one. */
    public data object EveryRecord : RecordFilter

    /**
     * Those for which [projection] differs from that of the key's record before, and those without it.
     *
     * Writers that repeat their entry every second then cost their followers nothing.
     */
    public class ChangedRecords(public val projection: (KeyedRecord) -> Any?) : RecordFilter
}

/** The newest record of a key and what it means. */
public class MirroredRecord(public val record: KeyedRecord, internal val projection: Any?)

/**
 * What is known of a topic: the newest record of each key, and the [recent] records that followers
 * need to see, in order. No record from [firstOffset] on that they need is missing.
 *
 * [isFollowing] is false while the topic cannot be read, so that nobody takes old words for new.
 */
public data class MirroredRecords(
    private val filter: RecordFilter,
    private val byKey: PersistentMap<String, MirroredRecord> = persistentHashMapOf(),
    val recent: PersistentList<KeyedRecord> = persistentListOf(),
    val firstOffset: Long = 0,
    val nextOffset: Long = 0,
    val isFollowing: Boolean = false
) {
    /** The newest record of each key that has a value. */
    val newest: List<KeyedRecord> get() = byKey.values.map { it.record }

    internal fun withNewest(read: TopicRecords): MirroredRecords =
        read.records.fold(copy(byKey = persistentHashMapOf())) { all, record ->
            all.withRecord(record)
        }
            .copy(
                recent = persistentListOf(),
                firstOffset = read.nextOffset,
                nextOffset = read.nextOffset,
                isFollowing = true
            )

    internal fun withChanges(read: TopicRecords): MirroredRecords =
        read.records.fold(this) { all, record -> all.withRecord(record) }
            .trimmed()
            .copy(nextOffset = read.nextOffset, isFollowing = true)

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
            firstOffset = recent[dropped - 1].offset + 1
        )
    }

    /** The records to see from [from] on; null when they are no longer kept. */
    public fun since(from: Long): PersistentList<KeyedRecord>? = when {
        from < firstOffset -> null
        else -> recent.dropWhile { it.offset < from }.toPersistentList()
    }
}
