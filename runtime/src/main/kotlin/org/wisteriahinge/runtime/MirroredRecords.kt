package org.wisteriahinge.runtime

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList

/** Records kept for followers that are behind; those further behind read the newest anew. */
private const val MAX_RECENT = 2_048

/** Which records of a topic its followers need to see. */
public sealed interface RecordMeaning {
    /** Each one. */
    public data object Each : RecordMeaning

    /**
     * Those for which [of] differs from that of the key's record before, and those without it.
     *
     * Writers that repeat their entry every second then cost their followers nothing.
     */
    public class Lasting(public val of: (KeyedRecord) -> Any?) : RecordMeaning
}

/** The newest record of a key and what it means. */
public class MirroredRecord(public val record: KeyedRecord, internal val meaning: Any?)

/**
 * What is known of a topic: the newest record of each key, and the [recent] records that followers
 * need to see, in order. No record from [firstOffset] on that they need is missing.
 *
 * [isFollowing] is false while the topic cannot be read, so that nobody takes old words for new.
 */
public data class MirroredRecords(
    private val meaning: RecordMeaning,
    private val byKey: PersistentMap<String, MirroredRecord> = persistentHashMapOf(),
    val recent: PersistentList<KeyedRecord> = persistentListOf(),
    val firstOffset: Long = 0,
    val nextOffset: Long = 0,
    val isFollowing: Boolean = false
) {
    /** The newest record of each key that has a value. */
    val newest: List<KeyedRecord> get() = byKey.values.map { it.record }

    internal fun replaced(read: TopicRecords): MirroredRecords =
        read.records.fold(copy(byKey = persistentHashMapOf())) { all, record -> all.noted(record) }
            .copy(
                recent = persistentListOf(),
                firstOffset = read.nextOffset,
                nextOffset = read.nextOffset,
                isFollowing = true
            )

    internal fun added(read: TopicRecords): MirroredRecords =
        read.records.fold(this) { all, record -> all.noted(record) }
            .bounded()
            .copy(nextOffset = read.nextOffset, isFollowing = true)

    private fun noted(record: KeyedRecord): MirroredRecords {
        val means = meaningOf(record)
        val repeats = means != null && means == byKey[record.key]?.meaning
        return copy(
            byKey = if (record.value == null) {
                byKey.remove(record.key)
            } else {
                byKey.put(record.key, MirroredRecord(record, means))
            },
            recent = if (repeats) recent else recent.add(record)
        )
    }

    private fun meaningOf(record: KeyedRecord): Any? = when (meaning) {
        RecordMeaning.Each -> null
        is RecordMeaning.Lasting -> meaning.of(record)
    }

    private fun bounded(): MirroredRecords {
        if (recent.size <= MAX_RECENT) return this
        val dropped = recent.size - MAX_RECENT
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
