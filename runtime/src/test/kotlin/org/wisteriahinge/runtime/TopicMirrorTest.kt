package org.wisteriahinge.runtime

import com.github.michaelbull.result.Err
import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.junit.jupiter.api.Test
import org.wisteriahinge.core.watch.TopicPosition
import org.wisteriahinge.core.watch.TopicSource
import org.wisteriahinge.core.watch.WatchRead
import org.wisteriahinge.core.watch.WatchTiming
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue

/** Guards against followers that miss a change or get records without a change. */
class TopicMirrorTest {
    private val readAt = Instant.parse("2026-01-01T00:00:00Z")
    private val maxAge = Duration.ofSeconds(1)

    private fun record(offset: Long, key: String, value: String?) =
        KeyedRecord(key, TopicPosition(0, offset), value?.encodeToByteArray())

    private fun page(next: Long, vararg records: KeyedRecord) =
        TopicRecords(records.toList().toPersistentList(), TopicPosition(0, next), readAt)

    private fun mirror(filter: RecordFilter = byFirstLetter) = TopicMirror(filter) { }
        .also { it.newestRead(page(10, record(3, "a", "1 old"), record(9, "b", "2"))) }

    private val byFirstLetter =
        RecordFilter.ChangedRecords { record -> record.value?.decodeToString()?.first() }

    private fun TopicMirror.offsetsSince(from: Long) =
        records.since(TopicPosition(0, from))?.map { it.position.offset }

    @Test
    fun `a record with the same projection as the last one of its key is not passed on`() {
        val mirror = mirror()
        mirror.changesRead(
            page(13, record(10, "a", "1 new"), record(11, "b", "3"), record(12, "a", "1"))
        )
        expectThat(mirror.offsetsSince(10)).isNotNull().containsExactly(11)
        expectThat(mirror.offsetsSince(12)).isNotNull().isEmpty()
    }

    @Test
    fun `a full read returns the newest record of each key`() {
        val mirror = mirror()
        mirror.changesRead(page(12, record(10, "a", "1 new"), record(11, "b", null)))
        expectThat(mirror.records.newest.map { it.position.offset }).containsExactly(10)
    }

    @Test
    fun `a key that returns after its removal is passed on`() {
        val mirror = mirror()
        mirror.changesRead(page(12, record(10, "a", null), record(11, "a", "1")))
        expectThat(mirror.offsetsSince(10)).isNotNull().containsExactly(10, 11)
    }

    @Test
    fun `without a projection every record is passed on`() {
        val mirror = mirror(RecordFilter.EveryRecord)
        mirror.changesRead(page(12, record(10, "a", "1"), record(11, "a", "1")))
        expectThat(mirror.offsetsSince(10)).isNotNull().containsExactly(10, 11)
    }

    @Test
    fun `a follower that is further behind than the kept records must read the newest`() {
        val mirror = mirror()
        val many = (10L until 3_010L).map { record(it, "a", "${it % 2}") }
        mirror.changesRead(page(3_010, *many.toTypedArray()))
        expectThat(mirror.records.since(TopicPosition(0, 10))).isNull()
        expectThat(mirror.offsetsSince(3_009)).isNotNull().containsExactly(3_009)
    }

    /** Guards against a relay whose read neither fails nor ends, so that nothing marks it. */
    @Test
    fun `records count as current for a limited time after the read they come from`() {
        val mirror = mirror()
        expectThat(mirror.records.isCurrent(readAt + maxAge, maxAge)).isTrue()
        expectThat(mirror.records.isCurrent(readAt + maxAge.plusMillis(1), maxAge)).isFalse()
        expectThat(MirroredRecords(byFirstLetter).isCurrent(readAt, maxAge)).isFalse()
    }

    @Test
    fun `a read that does not tell its age makes the records no younger`() {
        val mirror = mirror()
        val next = TopicPosition(0, 10)
        mirror.changesRead(TopicRecords(persistentListOf(), next, currentAsOf = null))
        expectThat(mirror.records.currentAsOf).isEqualTo(readAt)
    }

    /** Guards against a follower that waits for an offset which stands for other records now. */
    @Test
    fun `a follower with a position of an era that ended must read the newest`() {
        val mirror = mirror()
        val restored = KeyedRecord("a", TopicPosition(1, 4), "1".encodeToByteArray())
        mirror.newestRead(TopicRecords(persistentListOf(restored), TopicPosition(1, 5), readAt))
        expectThat(mirror.records.since(TopicPosition(0, 10))).isNull()
        expectThat(mirror.records.since(TopicPosition(1, 5))).isNotNull().isEmpty()
    }

    /** A topic of which no read succeeds. */
    private class FailingTopic(private val failure: TopicFailure) : KeyedTopic {
        override fun newest(timeout: Duration) = Err(failure)
        override fun changes(from: TopicPosition, waitUpTo: Duration, timeout: Duration) =
            Err(failure)
    }

    private fun TopicMirror.readFailing(failure: TopicFailure) {
        val timing = WatchTiming(Duration.ZERO, Duration.ZERO, readTimeout = Duration.ZERO)
        val topic = FollowedTopic("test", timing, FailingTopic(failure), mirror = this)
        val source = TopicSource.Origin
        topic.perform(WatchRead.Changes(source, Duration.ZERO, records.next, Duration.ZERO))
        topic.perform(WatchRead.Newest(source, Duration.ZERO))
    }

    @Test
    fun `a failed read makes the records no younger`() {
        val mirror = mirror()
        mirror.readFailing(TopicFailure.Unavailable("silent"))
        expectThat(mirror.records.currentAsOf).isEqualTo(readAt)
        expectThat(mirror.records.isCurrent(readAt + maxAge.plusMillis(1), maxAge)).isFalse()
    }

    @Test
    fun `a mirror is followed on while it reads the newest records of an era that began`() {
        val mirror = mirror()
        mirror.readFailing(TopicFailure.Expired("era 1 began"))
        expectThat(mirror.records.isCurrent(readAt + maxAge, maxAge)).isTrue()
    }
}
