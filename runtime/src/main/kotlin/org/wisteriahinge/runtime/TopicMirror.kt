package org.wisteriahinge.runtime

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import java.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList

/** Records kept for followers that are behind; those further behind read the newest anew. */
private const val MAX_RECENT = 2_048

/**
 * What is known of a topic: the newest record of each key, and the recent records in order.
 *
 * [isFollowing] is false while the topic cannot be read, so that nobody takes old words for new.
 */
public data class MirroredRecords(
    val newest: PersistentMap<String, KeyedRecord> = persistentHashMapOf(),
    val recent: PersistentList<KeyedRecord> = persistentListOf(),
    val firstOffset: Long = 0,
    val nextOffset: Long = 0,
    val isFollowing: Boolean = false
) {
    internal fun replaced(read: TopicRecords): MirroredRecords = MirroredRecords(
        newest = read.records.fold(persistentHashMapOf()) { all, record ->
            all.put(record.key, record)
        },
        firstOffset = read.nextOffset,
        nextOffset = read.nextOffset,
        isFollowing = true
    )

    internal fun added(read: TopicRecords): MirroredRecords {
        val all = recent.addAll(read.records)
        val kept = if (all.size > MAX_RECENT) {
            all.subList(all.size - MAX_RECENT, all.size).toPersistentList()
        } else {
            all
        }
        return copy(
            newest = read.records.fold(newest) { known, record ->
                if (record.value ==
                    null
                ) {
                    known.remove(record.key)
                } else {
                    known.put(record.key, record)
                }
            },
            recent = kept,
            firstOffset = kept.firstOrNull()?.offset ?: read.nextOffset,
            nextOffset = read.nextOffset,
            isFollowing = true
        )
    }

    /** The records from [from] on; null when they are no longer kept. */
    public fun since(from: Long): PersistentList<KeyedRecord>? = when {
        from < firstOffset -> null
        else -> recent.dropWhile { it.offset < from }.toPersistentList()
    }
}

/** Reads [topic] and keeps what was read for others; [changed] is called on the reading thread. */
public class TopicMirror(private val topic: KeyedTopic, private val changed: () -> Unit) :
    KeyedTopic {
    @Volatile
    private var state = MirroredRecords()

    /** What was read so far; may be asked for on any thread. */
    public val records: MirroredRecords get() = state

    override fun newest(): Result<TopicRecords, TopicFailure> = topic.newest()
        .onSuccess { update(state.replaced(it)) }
        .onFailure { update(state.copy(isFollowing = false)) }

    override fun changes(from: Long, waitUpTo: Duration): Result<TopicRecords, TopicFailure> =
        topic.changes(from, waitUpTo)
            .onSuccess { update(state.added(it)) }
            .onFailure { update(state.copy(isFollowing = false)) }

    private fun update(next: MirroredRecords) {
        state = next
        changed()
    }
}
