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

/** What a [LogTailDuty] reports to the duty that owns the state computed from the stream. */
public sealed interface TailEvent {
    /** The records that follow those of the last event; empty when the read timed out. */
    public data class Read(val records: PersistentList<LogRecord>) : TailEvent

    /** The retained part of the stream, reported before reading from its earliest record. */
    public data class BoundsRead(val bounds: LogBounds) : TailEvent

    /** Records before [earliest] expired before they were read; reading continues there. */
    public data class Gap(val earliest: Long) : TailEvent

    /** A read failed; it is repeated after a pause. */
    public data class Failed(val failure: LogFailure) : TailEvent
}

/**
 * Reads [stream] continuously from the offset [start], or from its earliest record if that is null.
 *
 * [sink] is called on this duty's thread. It may block until its ring has room, so that reading is
 * slowed down and no record is lost.
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
