package org.wisteriahinge.core.watch

import java.time.Instant
import kotlinx.collections.immutable.PersistentList

/** What a watch publishes to the followers of a topic. */
public sealed interface WatchUpdate<out R> {
    /**
     * [records] are the newest of all keys. Keys without one no longer exist.
     *
     * If [isRestored], the topic came back from an older copy since the last update: the records
     * may be older than those published before, and keys may be missing until they are written
     * again.
     */
    public data class Newest<R>(val records: PersistentList<R>, val isRestored: Boolean = false) :
        WatchUpdate<R>

    /** [records] were added in this order. */
    public data class Changes<R>(val records: PersistentList<R>) : WatchUpdate<R>

    /** The topic became unreadable. */
    public data object Lost : WatchUpdate<Nothing>

    /** The topic became readable. The last failed read, if any, began at [lastFailureAt]. */
    public data class Regained(val lastFailureAt: Instant?) : WatchUpdate<Nothing>
}
