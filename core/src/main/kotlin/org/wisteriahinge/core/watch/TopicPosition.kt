package org.wisteriahinge.core.watch

/**
 * A place in a topic. Offsets are comparable only within an [era], because a store that comes back
 * from an older copy of itself gives out the offsets after the copy again, in the next era.
 */
public data class TopicPosition(val era: Long, val offset: Long) : Comparable<TopicPosition> {
    override fun compareTo(other: TopicPosition): Int =
        compareValuesBy(this, other, TopicPosition::era, TopicPosition::offset)

    /** The place after the record at this one. */
    public fun next(): TopicPosition = copy(offset = offset + 1)

    override fun toString(): String =
        if (era == 0L) "offset $offset" else "offset $offset of era $era"

    public companion object {
        /** The beginning of a topic in a store that never came back from a copy. */
        public val Start: TopicPosition = TopicPosition(era = 0, offset = 0)
    }
}
