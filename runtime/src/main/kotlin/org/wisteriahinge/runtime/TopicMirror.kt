package org.wisteriahinge.runtime

/**
 * Keeps the records read from a topic for followers, which need those that [filter] passes.
 *
 * [onRead] is called on the reading thread after each read.
 */
public class TopicMirror(filter: RecordFilter, private val onRead: () -> Unit) {
    @Volatile
    private var state = MirroredRecords(filter)

    /** The records read so far; may be called on any thread. */
    public val records: MirroredRecords get() = state

    /** The newest record of each key was [read]. */
    public fun newestRead(read: TopicRecords): Unit = update(state.withNewest(read))

    /** Changes were [read] from the end of the records on. */
    public fun changesRead(read: TopicRecords): Unit = update(state.withChanges(read))

    private fun update(next: MirroredRecords) {
        state = next
        onRead()
    }
}
