package org.wisteriahinge.runtime

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.onSuccess
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.wisteriahinge.core.watch.SourceChoice
import org.wisteriahinge.core.watch.TopicSource
import org.wisteriahinge.core.watch.WatchRead
import org.wisteriahinge.core.watch.WatchTiming

/**
 * A topic to follow: its sources, the [timing] of its reads and the first [choice] of a source.
 *
 * The choice counts the [relays], which read the topic from [origin]. What is read is passed on to
 * [mirror] if this instance serves it to others.
 */
public class FollowedTopic(
    public val name: String,
    public val timing: WatchTiming,
    private val origin: KeyedTopic,
    private val relays: PersistentList<KeyedTopic> = persistentListOf(),
    public val choice: SourceChoice = SourceChoice(),
    public val mirror: TopicMirror? = null
) {
    /** Performs [read] and waits for its result. */
    public fun perform(read: WatchRead): Result<TopicRecords, TopicFailure> {
        val source = when (val chosen = read.source) {
            TopicSource.Origin -> origin
            is TopicSource.Relay -> relays[chosen.index]
        }
        return when (read) {
            is WatchRead.Newest -> source.newest(read.timeout).onSuccess { mirror?.newestRead(it) }
            is WatchRead.Changes -> source.changes(read.from, read.waitUpTo, read.timeout)
                .onSuccess { mirror?.changesRead(it) }
        }
    }
}
