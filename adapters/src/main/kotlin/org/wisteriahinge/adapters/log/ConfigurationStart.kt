package org.wisteriahinge.adapters.log

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.map
import java.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.wisteriahinge.core.configuration.ConfigurationEvent
import org.wisteriahinge.core.configuration.SnapshotRecord
import org.wisteriahinge.runtime.LogBounds
import org.wisteriahinge.runtime.LogFailure
import org.wisteriahinge.runtime.LogStream
import org.wisteriahinge.runtime.PlatformLog

/** More than one, because the newest may be unreadable or come from a slow writer. */
private const val SNAPSHOTS_READ_AT_START = 4

/**
 * What the log holds at a start: [loaded] for the decisions, and where to read on in
 * `configuration-snapshot`. Only the newest snapshots are read, however long the log is.
 */
public data class ConfigurationStart(
    val loaded: ConfigurationEvent.Loaded,
    val snapshotsReadFrom: Long
)

/** Reads the newest snapshots and finds the position after the best one. Blocks. */
public fun PlatformLog.readConfigurationStart(): Result<ConfigurationStart, LogFailure> =
    bounds(LogStream.ConfigurationSnapshot).flatMap { snapshotBounds ->
        readNewestSnapshots(snapshotBounds).flatMap { snapshots ->
            bounds(LogStream.Configuration).map { bounds ->
                ConfigurationStart(
                    ConfigurationEvent.Loaded(
                        snapshots = snapshots,
                        earliest = bounds.earliest,
                        readFrom = startAfter(snapshots, bounds)
                    ),
                    snapshotsReadFrom = snapshotBounds.next
                )
            }
        }
    }

private fun PlatformLog.readNewestSnapshots(
    bounds: LogBounds
): Result<PersistentList<SnapshotRecord>, LogFailure> {
    val from = maxOf(bounds.earliest, bounds.next - SNAPSHOTS_READ_AT_START)
    if (from >= bounds.next) return Ok(persistentListOf())
    return read(LogStream.ConfigurationSnapshot, from, SNAPSHOTS_READ_AT_START, Duration.ZERO)
        .map { records -> records.mapNotNull(SnapshotCodec::decode).toPersistentList() }
}

/** The highest revision counts; a position outside the stream belongs to a truncated log. */
private fun startAfter(snapshots: PersistentList<SnapshotRecord>, bounds: LogBounds): Long =
    snapshots.maxWithOrNull(compareBy({ it.checkpoint.revision }, { it.streamOffset }))
        ?.checkpoint?.nextOffset
        ?.takeIf { it >= bounds.earliest && it <= bounds.next }
        ?: bounds.earliest
