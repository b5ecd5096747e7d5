package org.wisteriahinge.core.watch

import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNull

/** Guards against a topic that is read too often, at the wrong offset, or no longer at all. */
class WatchStateTest {
    private val start = Instant.parse("2026-01-01T00:00:00Z")
    private val wait = Duration.ofSeconds(25)
    private val readTimeout = Duration.ofMillis(700)
    private val timing = WatchTiming(Duration.ofMillis(900), wait, readTimeout)
    private val initial = WatchState(timing, seed = 1)

    private fun at(offset: Long, era: Long = 0) = TopicPosition(era, offset)

    private fun readOfChanges(from: TopicPosition, waitUpTo: Duration = wait) =
        WatchRead.Changes(TopicSource.Origin, waitUpTo + readTimeout, from, waitUpTo)

    private fun newest(at: Instant) = WatchEvent.NewestRead(at, persistentListOf("a"), at(7))
    private fun changes(at: Instant) = WatchEvent.ChangesRead(at, persistentListOf("b"), at(9))

    @Test
    fun `a topic is read from its newest records and then followed`() {
        val first = initial.decide(newest(start), start)
        expectThat(first.updates).containsExactly(
            WatchUpdate.Regained(null),
            WatchUpdate.Newest(persistentListOf("a"))
        )
        expectThat(first.state.nextRead(start)).isEqualTo(readOfChanges(at(7)))
        val second = first.state.decide(changes(start), start)
        expectThat(second.updates).containsExactly(WatchUpdate.Changes(persistentListOf("b")))
        expectThat(second.state.nextRead(start)).isEqualTo(readOfChanges(at(9)))
    }

    @Test
    fun `the newest records of an era that began are published as restored`() {
        val following = initial.decide(newest(start), start).state
            .decide<String>(WatchEvent.Expired(start), start).state
        val restored = WatchEvent.NewestRead(start, persistentListOf("old"), at(2, era = 1))
        val decision = following.decide(restored, start)
        expectThat(decision.updates)
            .containsExactly(WatchUpdate.Newest(persistentListOf("old"), isRestored = true))
        expectThat(decision.state.nextRead(start)).isEqualTo(readOfChanges(at(2, era = 1)))
    }

    @Test
    fun `an answer of an era that has ended counts as a failed read`() {
        val unread = initial.decide(newest(start).copy(next = at(2, era = 1)), start).state
            .decide<String>(WatchEvent.Expired(start), start).state
        val decision = unread.decide(newest(start), start)
        expectThat(decision.updates).containsExactly(WatchUpdate.Lost)
        expectThat(decision.state.nextRead(start))
            .isEqualTo(WatchRead.Newest(TopicSource.Origin, readTimeout))
    }

    @Test
    fun `reads start at least the minimum period apart`() {
        val state = initial.decide(newest(start), start.plusMillis(300)).state
        expectThat(state.nextReadAt).isEqualTo(start.plusMillis(900))
    }

    @Test
    fun `after expired records the newest ones are read`() {
        val following = initial.decide(newest(start), start).state
        val expired = following.decide<String>(WatchEvent.Expired(start), start)
        expectThat(expired.state.nextRead(start))
            .isEqualTo(WatchRead.Newest(TopicSource.Origin, readTimeout))
        expectThat(expired.state.nextReadAt).isEqualTo(start)
        expectThat(expired.updates).isEmpty()
    }

    @Test
    fun `an outage is published once and the offset is kept`() {
        val following = initial.decide(newest(start), start).state
        val lost = following.decide<String>(WatchEvent.Failed(start), start)
        val still = lost.state.decide<String>(WatchEvent.Failed(start), start)
        expectThat(lost.updates).containsExactly(WatchUpdate.Lost)
        expectThat(still.updates).isEmpty()
        expectThat(still.state.nextRead(start))
            .isEqualTo(readOfChanges(at(7), Duration.ZERO))
        expectThat(still.state.decide(changes(start), start).updates)
            .containsExactly(
                WatchUpdate.Regained(start),
                WatchUpdate.Changes(persistentListOf("b"))
            )
    }

    @Test
    fun `a read after a failure does not wait for records`() {
        val lost = initial.decide(newest(start), start).state
            .decide<String>(WatchEvent.Failed(start), start).state
        expectThat(lost.nextRead(start))
            .isEqualTo(readOfChanges(at(7), Duration.ZERO))
        expectThat(lost.decide(changes(start), start).state.nextRead(start))
            .isEqualTo(readOfChanges(at(9)))
    }

    @Test
    fun `the delay after failures is bounded`() {
        val quick = WatchState(WatchTiming(Duration.ZERO, Duration.ZERO, readTimeout), seed = 1)
        val failed = generateSequence(quick) {
            it.decide<String>(WatchEvent.Failed(start), start).state
        }.take(12).toList()
        expectThat(failed[1].nextReadAt).isGreaterThan(start)
        expectThat(failed.last().nextReadAt).isLessThanOrEqualTo(start + timing.maxBackOff)
    }

    @Test
    fun `after a failed relay the topic itself is read and then the next relay`() {
        val choice = SourceChoice(relays = 3, takeover = Duration.ofSeconds(2), current = 2)
        val failed = choice.relayFailed(start)
        val later = start.plusSeconds(1)
        expectThat(failed.source(start, start.plusMillis(999))).isEqualTo(TopicSource.Origin)
        expectThat(failed.source(start, later)).isEqualTo(TopicSource.Relay(0))
        expectThat(SourceChoice().source(start, later)).isEqualTo(TopicSource.Origin)
    }

    private val following = WatchState(
        WatchTiming.waiting(FreshnessBudget(Duration.ofSeconds(2))),
        seed = 1,
        SourceChoice(relays = 2, takeover = Duration.ofMillis(1_400))
    ).decide(newest(start).copy(source = TopicSource.Relay(0)), start).state

    /** Guards against a relay that answers without end and knows nothing new. */
    @Test
    fun `a relay whose pages make the records no younger is not read beyond the takeover`() {
        val almost = start.plusMillis(1_300)
        val old = changes(almost).copy(currentAsOf = start, source = TopicSource.Relay(0))
        val state = following.decide(old, almost).state
        expectThat(state.nextRead(almost).source).isEqualTo(TopicSource.Relay(0))
        expectThat(state.nextRead(almost).timeout).isEqualTo(Duration.ofMillis(100))
        val takeover = state.nextRead(start.plusMillis(1_400)) as WatchRead.Changes
        expectThat(takeover.source).isEqualTo(TopicSource.Origin)
        expectThat(takeover.waitUpTo).isEqualTo(Duration.ZERO)
    }

    /** Guards against trust in relays of versions before ages during an upgrade. */
    @Test
    fun `the topic itself is read after a relay that does not tell the age of its records`() {
        val unread = WatchState(following.timing, seed = 1, following.choice)
        val relay = TopicSource.Relay(0)
        val read = unread.decide(newest(start).copy(currentAsOf = null, source = relay), start)
        expectThat(unread.nextRead(start).source).isEqualTo(relay)
        expectThat(read.state.nextRead(start).source).isEqualTo(TopicSource.Origin)
        val again = read.state.decide(changes(start), start).state
            .decide(changes(start).copy(currentAsOf = null, source = relay), start).state
        expectThat(again.nextRead(start.plusMillis(1_400)).source).isEqualTo(TopicSource.Origin)
    }

    @Test
    fun `a read that waits ends before the records are older than the period of reads`() {
        val read = initial.decide(newest(start), start.plusSeconds(10)).state
            .nextRead(start.plusSeconds(10)) as WatchRead.Changes
        expectThat(read.waitUpTo).isEqualTo(Duration.ofSeconds(15))
    }

    @Test
    fun `a failed relay is no outage, and the topic itself is read at once`() {
        val following = WatchState(
            timing,
            seed = 1,
            SourceChoice(relays = 2, Duration.ofSeconds(2))
        )
            .decide(newest(start).copy(source = TopicSource.Relay(0)), start).state
        val failed = following.decide<String>(WatchEvent.Failed(start, TopicSource.Relay(0)), start)
        expectThat(failed.updates).isEmpty()
        expectThat(failed.state.nextReadAt).isEqualTo(start)
        expectThat(failed.state.nextRead(start).source).isEqualTo(TopicSource.Origin)
    }

    @Test
    fun `an instance that is cut off from the topic alone reads a relay`() {
        val choice = SourceChoice(relays = 2, takeover = Duration.ofSeconds(2)).relayFailed(start)
        val cut = choice.originFailed()
        expectThat(cut.source(start, start.plusMillis(600))).isEqualTo(TopicSource.Relay(1))
        expectThat(cut.relayRead().source(start.plusSeconds(3), start.plusSeconds(3)))
            .isEqualTo(TopicSource.Relay(1))
    }

    @Test
    fun `a read that returns a part of the records is followed by the next without delay`() {
        val state = initial.decide(newest(start).copy(currentAsOf = null), start).state
        expectThat(state.nextReadAt).isLessThanOrEqualTo(start.plusMillis(50))
        expectThat(state.currentAsOf).isNull()
    }
}
