package org.wisteriahinge.runtime

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import io.github.oshai.kotlinlogging.KotlinLogging
import java.time.Duration
import kotlinx.collections.immutable.PersistentList

private val logger = KotlinLogging.logger {}

/**
 * Wraps [log] to report [LogFailure.Expired] for a read beyond the end of a stream.
 *
 * A stream that was truncated and restarted at lower offsets returns no records at its former end,
 * and a reader would wait there forever. Each read without records is therefore followed by a check
 * of the stream's bounds.
 */
public class RestartDetectingLog(private val log: PlatformLog) : PlatformLog by log {
    override fun read(
        stream: LogStream,
        fromOffset: Long,
        max: Int,
        waitUpTo: Duration
    ): Result<PersistentList<LogRecord>, LogFailure> =
        log.read(stream, fromOffset, max, waitUpTo).flatMap { records ->
            if (records.isEmpty()) checkEnd(stream, fromOffset, records) else Ok(records)
        }

    private fun checkEnd(
        stream: LogStream,
        fromOffset: Long,
        records: PersistentList<LogRecord>
    ): Result<PersistentList<LogRecord>, LogFailure> = log.bounds(stream).flatMap { bounds ->
        if (fromOffset <= bounds.next) {
            Ok(records)
        } else {
            logLostRecords(stream, bounds.next, fromOffset)
            Err(LogFailure.Expired(bounds.earliest))
        }
    }

    private fun logLostRecords(stream: LogStream, end: Long, fromOffset: Long) {
        logger.error {
            "$stream ends at $end, before offset $fromOffset that was read earlier: the log lost " +
                "records that it had accepted, and claims or shares among them no longer hold"
        }
    }
}
