package org.wisteriahinge.runtime

import com.github.michaelbull.result.mapBoth
import io.github.oshai.kotlinlogging.KotlinLogging
import java.time.Clock
import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.toPersistentList
import org.wisteriahinge.core.keys.ClockReading
import org.wisteriahinge.core.watch.TopicSource
import org.wisteriahinge.core.watch.WatchEvent
import org.wisteriahinge.core.watch.WatchRead
import org.wisteriahinge.core.watch.WatchState
import org.wisteriahinge.core.watch.WatchUpdate

private val logger = KotlinLogging.logger {}

/**
 * Reads [topic] continuously and passes decoded changes to [listener] on the duty's thread.
 *
 * [decode] returns null for a record to be skipped. After each read that shows the records to be
 * current as of a later moment, [confirmed] gets this moment, after the changes.
 */
public class TopicWatchDuty<R : Any>(
    private val topic: FollowedTopic,
    seed: Long,
    private val clock: Clock,
    private val decode: (KeyedRecord) -> R?,
    private val listener: (WatchUpdate<R>) -> Unit,
    private val timeOfDay: Clock = Clock.systemUTC(),
    private val confirmed: (ClockReading) -> Unit = { }
) : Duty("watch-${topic.name}") {
    @Volatile
    private var state = WatchState(topic.timing, seed, topic.choice)
    private var lastSource: TopicSource? = null
    private var readStartedAt = ClockReading(Instant.EPOCH, Instant.EPOCH)

    /** The name of the topic. */
    public val topicName: String get() = topic.name

    /** All that was written before this moment is known; null before the first read. */
    public val currentAsOf: Instant? get() = state.currentAsOf

    private val readLock = Any()
    private var isReading = false
    private var restartRequested = false

    /** Interrupts the present read, whose connection may be dead, and starts the next one. */
    public fun restartRead() {
        synchronized(readLock) {
            if (!isReading) return
            restartRequested = true
            interrupt()
        }
    }

    override fun runOnce() {
        val event = nextEvent()
        val before = state.currentAsOf
        val decision = state.decide(event, clock.instant())
        state = decision.state
        decision.updates.forEach(listener)
        val after = state.currentAsOf
        if (after != null && after != before) confirmed(readStartedAt.at(after))
    }

    private fun nextEvent(): WatchEvent<R> {
        synchronized(readLock) { isReading = true }
        var source: TopicSource = TopicSource.Origin
        return try {
            sleepUntil(state.nextReadAt)
            val startedAt = clock.instant()
            readStartedAt = ClockReading(startedAt, timeOfDay.instant())
            val read = state.nextRead(startedAt)
            source = read.source
            logChange(source, startedAt)
            perform(read, startedAt)
        } catch (e: InterruptedException) {
            if (!synchronized(readLock) { restartRequested }) throw e
            WatchEvent.Failed(clock.instant(), source)
        } finally {
            finishRead()
        }
    }

    private fun logChange(source: TopicSource, now: Instant) {
        if (source == lastSource) return
        lastSource = source
        val age = currentAsOf?.let { "${Duration.between(it, now).toMillis()} ms old" }
        val name = when (source) {
            TopicSource.Origin -> "the topic itself"
            is TopicSource.Relay -> "relay ${source.index}"
        }
        logger.info { "${topic.name}: reading $name; records are ${age ?: "not known yet"}" }
    }

    /** Clears an interrupt that came after the read, so that it does not end the duty. */
    private fun finishRead() {
        synchronized(readLock) {
            isReading = false
            if (restartRequested) Thread.interrupted()
            restartRequested = false
        }
    }

    private fun sleepUntil(time: Instant) {
        val wait = Duration.between(clock.instant(), time)
        if (!wait.isNegative) Thread.sleep(wait.toMillis())
    }

    private fun perform(read: WatchRead, startedAt: Instant): WatchEvent<R> =
        topic.perform(read).mapBoth(
            success = { it.toEvent(read, startedAt) },
            failure = { failure ->
                logger.info { "${topic.name}: ${failure.message}" }
                when (failure) {
                    is TopicFailure.Expired -> WatchEvent.Expired(startedAt, read.source)
                    is TopicFailure.Unavailable -> WatchEvent.Failed(startedAt, read.source)
                }
            }
        )

    private fun TopicRecords.toEvent(read: WatchRead, startedAt: Instant): WatchEvent<R> {
        val decoded = records.mapNotNull(::decodeOrSkip).toPersistentList()
        return when (read) {
            is WatchRead.Newest ->
                WatchEvent.NewestRead(startedAt, decoded, next, currentAsOf, read.source)
            is WatchRead.Changes ->
                WatchEvent.ChangesRead(startedAt, decoded, next, currentAsOf, read.source)
        }
    }

    /** An exception would end the read, and the next one would fail at the same record. */
    private fun decodeOrSkip(record: KeyedRecord): R? = try {
        decode(record)
    } catch (e: RuntimeException) {
        logger.error(e) {
            "${topic.name}: skipping the record '${record.key}' at ${record.position}"
        }
        null
    }
}
