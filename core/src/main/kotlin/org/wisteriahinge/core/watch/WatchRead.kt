package org.wisteriahinge.core.watch

import java.time.Duration

/** A read of a topic from [source], whose answer must have come after [timeout]. */
public sealed interface WatchRead {
    public val source: TopicSource
    public val timeout: Duration

    /** Reads the newest record of each key. */
    public data class Newest(override val source: TopicSource, override val timeout: Duration) :
        WatchRead

    /** Reads the records from [from] on, waiting up to [waitUpTo] for the first. */
    public data class Changes(
        override val source: TopicSource,
        override val timeout: Duration,
        val from: TopicPosition,
        val waitUpTo: Duration
    ) : WatchRead
}
