package org.wisteriahinge.runtime

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import java.time.Duration
import kotlinx.collections.immutable.PersistentList

/**
 * Reports [LogFailure.Expired] for a position beyond the end of a stream.
 *
 * A stream that was truncated and begins anew at lower offsets answers a reader of its former end
 * with nothing, and the reader would wait there for good. Each read without records is therefore
 * followed by a look at the bounds.
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
        if (fromOffset > bounds.next) Err(LogFailure.Expired(bounds.earliest)) else Ok(records)
    }
}
