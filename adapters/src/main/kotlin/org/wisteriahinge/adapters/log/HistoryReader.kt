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
 * The revisions in the log after its newest snapshot, up to but without [readUpTo].
 *
 * [startLost] means that earlier records have expired and no snapshot replaces them.
 */
public data class LoggedHistory(
    val history: RevisionHistory,
    val readUpTo: Long,
    val startLost: Boolean
) {
    /** Whether the log holds nothing that a revision could replace. */
    val isEmpty: Boolean get() = history.number == RevisionNumber.None
}

/** Reads the newest snapshot and judges every record after it. Blocks. */
public fun PlatformLog.readHistory(reader: ListReader): Result<LoggedHistory, LogFailure> =
    readConfigurationStart().flatMap { start ->
        val checkpoint = start.loaded.snapshots
            .filter { reader.read(it.checkpoint.lists, it.checkpoint.revision) != null }
            .maxWithOrNull(compareBy({ it.checkpoint.revision }, { it.streamOffset }))
            ?.checkpoint
        val from = start.loaded.readFrom
        val startLost = checkpoint == null && start.loaded.earliest > 0
        readOn(LoggedHistory(RevisionHistory(checkpoint), from, startLost), reader)
    }

/** Judges the records that followed [logged]. Blocks. */
public fun PlatformLog.readOn(
    logged: LoggedHistory,
    reader: ListReader
): Result<LoggedHistory, LogFailure> = bounds(LogStream.Configuration)
    .flatMap { bounds -> judgeRecords(logged, bounds.next, reader) }

private tailrec fun PlatformLog.judgeRecords(
    logged: LoggedHistory,
    end: Long,
    reader: ListReader
): Result<LoggedHistory, LogFailure> {
    if (logged.readUpTo >= end) return Ok(logged)
    val records =
        read(LogStream.Configuration, logged.readUpTo, RECORDS_PER_READ, Duration.ZERO)
            .getOrElse { return Err(it) }
    if (records.isEmpty()) return Ok(logged)
    val judged = records.map(RevisionCodec::decode).fold(logged.history) { all, record ->
        all.add(record, reader)
    }
    val next = logged.copy(history = judged, readUpTo = records.last().offset + 1)
    return judgeRecords(next, end, reader)
}
