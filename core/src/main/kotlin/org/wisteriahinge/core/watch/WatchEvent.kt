package org.wisteriahinge.core.watch

import java.time.Instant
import kotlinx.collections.immutable.PersistentList

/** The outcome of one read of a topic from [source], which began at [startedAt]. */
public sealed interface WatchEvent<out R> {
    public val startedAt: Instant
    public val source: TopicSource

    /** Records were read, which are current as of [currentAsOf]; null if that is not known. */
    public sealed interface RecordsRead<R> : WatchEvent<R> {
        public val records: PersistentList<R>
        public val next: TopicPosition
        public val currentAsOf: Instant?
    }

    /** Read the newest record of each key. Changes are read from [next] on. */
    public data class NewestRead<R>(
        override val startedAt: Instant,
        override val records: PersistentList<R>,
        override val next: TopicPosition,
        override val currentAsOf: Instant? = startedAt,
        override val source: TopicSource = TopicSource.Origin
    ) : RecordsRead<R>

    /** Read the [records] added before [next]. */
    public data class ChangesRead<R>(
        override val startedAt: Instant,
        override val records: PersistentList<R>,
        override val next: TopicPosition,
        override val currentAsOf: Instant? = startedAt,
        override val source: TopicSource = TopicSource.Origin
    ) : RecordsRead<R>

    /** The source does not hold the requested position: records expired, or an era began. */
    public data class Expired(
        override val startedAt: Instant,
        override val source: TopicSource = TopicSource.Origin
    ) : WatchEvent<Nothing>

    /** The source did not answer, or answered with an error. */
    public data class Failed(
        override val startedAt: Instant,
        override val source: TopicSource = TopicSource.Origin
    ) : WatchEvent<Nothing>
}
