package org.wisteriahinge.adapters.log

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.getOrElse
import java.time.Duration
import org.wisteriahinge.core.configuration.ListReader
import org.wisteriahinge.core.configuration.RevisionHistory
import org.wisteriahinge.core.model.RevisionNumber
import org.wisteriahinge.runtime.LogFailure
import org.wisteriahinge.runtime.LogStream
import org.wisteriahinge.runtime.PlatformLog

private const val RECORDS_PER_READ = 64

/**
 * The newest usable snapshot in the log and the records after it, up to but excluding the offset
 * [readUpTo].
 *
 * [startLost] means that earlier records have expired and no snapshot replaces them.
 */
public data class LoggedHistory(
    val history: RevisionHistory,
    val readUpTo: Long,
    val startLost: Boolean
) {
    /** Whether no revision is in force, so that there is none to replace. */
    val isEmpty: Boolean get() = history.number == RevisionNumber.None
}

/** Reads the newest usable snapshot and evaluates every record after it. Blocks. */
public fun PlatformLog.readHistory(reader: ListReader): Result<LoggedHistory, LogFailure> =
    readStoredConfiguration().flatMap { start ->
        val checkpoint = start.loaded.snapshots
            .filter { reader.read(it.checkpoint.lists, it.checkpoint.revision) != null }
            .maxWithOrNull(compareBy({ it.checkpoint.revision }, { it.streamOffset }))
            ?.checkpoint
        val from = start.loaded.readFrom
        val startLost = checkpoint == null && start.loaded.earliest > 0
        readAppended(LoggedHistory(RevisionHistory(checkpoint), from, startLost), reader)
    }

/** Reads and evaluates the records that were appended since [logged] was read. Blocks. */
public fun PlatformLog.readAppended(
    logged: LoggedHistory,
    reader: ListReader
): Result<LoggedHistory, LogFailure> = bounds(LogStream.Configuration)
    .flatMap { bounds -> evaluateRecords(logged, bounds.next, reader) }

private tailrec fun PlatformLog.evaluateRecords(
    logged: LoggedHistory,
    end: Long,
    reader: ListReader
): Result<LoggedHistory, LogFailure> {
    if (logged.readUpTo >= end) return Ok(logged)
    val records =
        read(LogStream.Configuration, logged.readUpTo, RECORDS_PER_READ, Duration.ZERO)
            .getOrElse { return Err(it) }
    if (records.isEmpty()) return Ok(logged)
    val evaluated = records.map(RevisionCodec::decode).fold(logged.history) { all, record ->
        all.add(record, reader)
    }
    val next = logged.copy(history = evaluated, readUpTo = records.last().offset + 1)
    return evaluateRecords(next, end, reader)
}
