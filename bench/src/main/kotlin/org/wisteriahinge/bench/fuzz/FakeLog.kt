package org.wisteriahinge.bench.fuzz

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/** How the fake log answers. */
internal sealed interface LogMode {
    data object Up : LogMode
    data object Down : LogMode

    /** Every operation takes half a second longer. */
    data object Slow : LogMode

    /** Appends take effect and their answers are lost. */
    data object LosesAnswers : LogMode

    /** Appends are reported as lost and take effect many seconds later. */
    data object DelaysAppends : LogMode
}

/** One stream of the fake log; records below [earliest] have expired. */
internal data class FakeStream<T>(
    val records: PersistentList<T> = persistentListOf(),
    val earliest: Long = 0
) {
    val next: Long get() = records.size.toLong()

    fun append(record: T): FakeStream<T> = copy(records = records.add(record))

    /** Drops [count] more records from the start. */
    fun expire(count: Int): FakeStream<T> = copy(earliest = minOf(next, earliest + count))

    /** Records with their offsets from [from] on, at most [max]. */
    fun read(from: Long, max: Int): List<IndexedValue<T>> =
        (from until minOf(next, from + max)).map { IndexedValue(it.toInt(), records[it.toInt()]) }
}
