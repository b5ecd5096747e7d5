package org.wisteriahinge.runtime

import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.github.oshai.kotlinlogging.KotlinLogging
import java.time.Duration
import kotlinx.collections.immutable.PersistentList

private val logger = KotlinLogging.logger {}

private const val MAX_RECORDS_PER_READ = 256
private val WAIT_FOR_RECORDS: Duration = Duration.ofSeconds(1)
private val PAUSE_AFTER_FAILURE: Duration = Duration.ofMillis(250)

/** What a tail reports to the duty that owns the stream's state. */
public sealed interface TailEvent {
    /** Records in order, without gaps since the last event; empty when none came in time. */
    public data class Read(val records: PersistentList<LogRecord>) : TailEvent

    /** The retained part of the stream when the tail began to read at its earliest record. */
    public data class BoundsRead(val bounds: LogBounds) : TailEvent

    /** Records before [earliest] expired unread; the tail goes on from there. */
    public data class Gap(val earliest: Long) : TailEvent

    /** The log did not answer. */
    public data class Failed(val failure: LogFailure) : TailEvent
}

/**
 * Follows [stream] from [start] on, or from its earliest retained record when [start] is null.
 *
 * [sink] is called on this thread and may block until its ring has room, which slows the reading
 * down instead of losing records.
 */
public class LogTailDuty(
    private val stream: LogStream,
    private val log: PlatformLog,
    start: Long?,
    private val sink: EffectSink<TailEvent>
) : Duty("tail-${stream.wireName}") {
    private var nextOffset = start

    override fun runOnce() {
        val from = nextOffset ?: return readBounds()
        log.read(stream, from, MAX_RECORDS_PER_READ, WAIT_FOR_RECORDS)
            .onSuccess(::handleRecords)
            .onFailure(::handleFailure)
    }

    private fun readBounds() {
        log.bounds(stream).onSuccess { bounds ->
            nextOffset = bounds.earliest
            sink.perform(TailEvent.BoundsRead(bounds))
        }.onFailure(::handleFailure)
    }

    private fun handleRecords(records: PersistentList<LogRecord>) {
        nextOffset = records.lastOrNull()?.let { it.offset + 1 } ?: nextOffset
        sink.perform(TailEvent.Read(records))
    }

    private fun handleFailure(failure: LogFailure) {
        when (failure) {
            is LogFailure.Expired -> {
                nextOffset = failure.earliest
                sink.perform(TailEvent.Gap(failure.earliest))
            }
            is LogFailure.Unavailable, is LogFailure.OutcomeUnknown -> {
                logger.warn { "tail of ${stream.wireName}: ${failure.message}" }
                sink.perform(TailEvent.Failed(failure))
                Thread.sleep(PAUSE_AFTER_FAILURE.toMillis())
            }
        }
    }
}
