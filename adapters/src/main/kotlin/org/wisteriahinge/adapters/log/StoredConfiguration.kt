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

/**
 * Number of newest snapshots to read. More than one, because the newest may be unreadable or may
 * hold an older revision that a slow instance wrote late.
 */
private const val SNAPSHOTS_READ_AT_START = 4

/**
 * What the log holds of the configuration when an instance starts: the snapshots and the position
 * from which to read the stream `configuration` are in [loaded]; the stream
 * `configuration-snapshot` is to be read from [snapshotsReadFrom] on.
 */
public data class StoredConfiguration(
    val loaded: ConfigurationEvent.Loaded,
    val snapshotsReadFrom: Long
)

/**
 * Reads the newest snapshots and determines the position after the one with the highest revision.
 *
 * The number of snapshots read is bounded, so the time does not grow with the log. Blocks.
 */
public fun PlatformLog.readStoredConfiguration(): Result<StoredConfiguration, LogFailure> =
    bounds(LogStream.ConfigurationSnapshot).flatMap { snapshotBounds ->
        readNewestSnapshots(snapshotBounds).flatMap { snapshots ->
            bounds(LogStream.Configuration).map { bounds ->
                StoredConfiguration(
                    ConfigurationEvent.Loaded(
                        snapshots = snapshots,
                        earliest = bounds.earliest,
                        readFrom = resumeOffset(snapshots, bounds)
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

/**
 * The position after the snapshot with the highest revision. If it lies outside the stream, the log
 * was truncated after the snapshot was written, and the whole stream is read.
 */
private fun resumeOffset(snapshots: PersistentList<SnapshotRecord>, bounds: LogBounds): Long =
    snapshots.maxWithOrNull(compareBy({ it.checkpoint.revision }, { it.streamOffset }))
        ?.checkpoint?.nextOffset
        ?.takeIf { it >= bounds.earliest && it <= bounds.next }
        ?: bounds.earliest
