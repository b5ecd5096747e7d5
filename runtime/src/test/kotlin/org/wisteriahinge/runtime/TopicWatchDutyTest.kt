package org.wisteriahinge.runtime

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import java.time.Clock
import java.time.Duration
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.Semaphore
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.Test
import org.wisteriahinge.core.watch.TopicPosition
import org.wisteriahinge.core.watch.WatchTiming
import org.wisteriahinge.core.watch.WatchUpdate
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isTrue

/** Guards against a watch that hangs on a dead connection or ends when its read is interrupted. */
class TopicWatchDutyTest {
    private val pace = WatchTiming(
        minPeriod = Duration.ZERO,
        waitUpTo = Duration.ofSeconds(60),
        readTimeout = Duration.ZERO,
        initialBackOff = Duration.ofMillis(1)
    )

    /** A topic whose changes never come; the read ends by an interrupt only. */
    private class SilentTopic : KeyedTopic {
        val reads = AtomicInteger()
        val reading = Semaphore(0)

        override fun newest(timeout: Duration): Result<TopicRecords, TopicFailure> =
            Ok(TopicRecords(persistentListOf(), TopicPosition(0, 1), null))

        override fun changes(
            from: TopicPosition,
            waitUpTo: Duration,
            timeout: Duration
        ): Result<TopicRecords, TopicFailure> {
            reads.incrementAndGet()
            reading.release()
            Thread.sleep(waitUpTo.toMillis())
            return Ok(TopicRecords(persistentListOf(), from, null))
        }
    }

    @Test
    fun `a read on a dead connection is interrupted and the duty continues`() {
        val topic = SilentTopic()
        val news = ConcurrentLinkedQueue<WatchUpdate<String>>()
        val followed = FollowedTopic("test", pace, topic)
        val duty = TopicWatchDuty(followed, 1, Clock.systemUTC(), { it.key }, news::add)
        duty.start()
        repeat(20) {
            expectThat(topic.reading.tryAcquire(5, TimeUnit.SECONDS)).isTrue()
            duty.restartRead()
            duty.restartRead()
        }
        expectThat(topic.reads.get()).isGreaterThanOrEqualTo(20)
        duty.stop(Duration.ofSeconds(1))
    }

    /** A topic with two records, which are read first. */
    private class TwoRecords : KeyedTopic {
        override fun newest(timeout: Duration): Result<TopicRecords, TopicFailure> = Ok(
            TopicRecords(
                persistentListOf(record("bad", 0), record("good", 1)),
                TopicPosition(0, 2),
                currentAsOf = null
            )
        )

        private fun record(key: String, offset: Long) =
            KeyedRecord(key, TopicPosition(0, offset), null)

        override fun changes(
            from: TopicPosition,
            waitUpTo: Duration,
            timeout: Duration
        ): Result<TopicRecords, TopicFailure> {
            Thread.sleep(waitUpTo.toMillis())
            return Ok(TopicRecords(persistentListOf(), from, null))
        }
    }

    /** Guards against a record that is read again and again while the others are never used. */
    @Test
    fun `a record that fails to decode is skipped`() {
        val news = LinkedBlockingQueue<WatchUpdate<String>>()
        val decode = { record: KeyedRecord ->
            if (record.key == "bad") error("not expected by the decoder") else record.key
        }
        val followed = FollowedTopic("test", pace, TwoRecords())
        val duty = TopicWatchDuty(followed, 1, Clock.systemUTC(), decode, news::add)
        duty.start()
        val newest = generateSequence { news.poll(10, TimeUnit.SECONDS) }
            .filterIsInstance<WatchUpdate.Newest<String>>().first()
        expectThat(newest.records).containsExactly("good")
        duty.stop(Duration.ofSeconds(1))
    }
}
