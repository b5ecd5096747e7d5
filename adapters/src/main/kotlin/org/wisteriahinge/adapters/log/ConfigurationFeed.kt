package org.wisteriahinge.adapters.log

import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.github.oshai.kotlinlogging.KotlinLogging
import java.io.Closeable
import java.time.Duration
import java.util.concurrent.atomic.AtomicReference
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.wisteriahinge.core.configuration.ConfigurationEvent
import org.wisteriahinge.runtime.Duty
import org.wisteriahinge.runtime.LogFailure
import org.wisteriahinge.runtime.LogStream
import org.wisteriahinge.runtime.LogTailDuty
import org.wisteriahinge.runtime.PlatformLog
import org.wisteriahinge.runtime.RestartDetectingLog
import org.wisteriahinge.runtime.Ring
import org.wisteriahinge.runtime.TailEvent
import org.wisteriahinge.runtime.offerBlocking

private val logger = KotlinLogging.logger {}

private val RETRY_DELAY: Duration = Duration.ofMillis(250)
private val STOP_TIMEOUT: Duration = Duration.ofSeconds(1)

/**
 * Feeds the configuration from the log to [ring].
 *
 * It reads what the log holds at startup, then starts a [LogTailDuty] for each of the streams
 * `configuration` and `configuration-snapshot`. A failed read at startup is repeated after
 * [RETRY_DELAY]. All threads wait while the ring is full.
 */
public class ConfigurationFeed(log: PlatformLog, private val ring: Ring<ConfigurationEvent>) :
    Duty("configuration-start"),
    Closeable {
    private val log = RestartDetectingLog(log)
    private val tails = AtomicReference<PersistentList<LogTailDuty>>(persistentListOf())

    override fun runOnce() {
        log.readStoredConfiguration().onSuccess(::startTails).onFailure(::waitBeforeRetry)
    }

    private fun startTails(start: StoredConfiguration) {
        ring.offerBlocking(start.loaded)
        val started = persistentListOf(
            LogTailDuty(LogStream.Configuration, log, start.loaded.readFrom, ::forwardRevisions),
            LogTailDuty(
                LogStream.ConfigurationSnapshot,
                log,
                start.snapshotsReadFrom,
                ::forwardSnapshots
            )
        )
        tails.set(started)
        started.forEach { it.start() }
        // Ends the loop of this duty; from here on the tails read the streams.
        Thread.currentThread().interrupt()
    }

    private fun waitBeforeRetry(failure: LogFailure) {
        logger.warn {
            "the configuration could not be read from the log at startup: ${failure.message}; " +
                "retrying in ${RETRY_DELAY.toMillis()} ms"
        }
        Thread.sleep(RETRY_DELAY.toMillis())
    }

    private fun forwardRevisions(event: TailEvent) {
        when (event) {
            is TailEvent.Read -> ring.offerBlocking(
                ConfigurationEvent.RecordsRead(
                    event.records.map(RevisionCodec::decode).toPersistentList()
                )
            )
            is TailEvent.Gap -> ring.offerBlocking(ConfigurationEvent.RecordsLost(event.earliest))
            // Not expected: these tails start at a given offset and do not request the bounds.
            is TailEvent.BoundsRead -> Unit
            // The `configuration` duty detects failures by the age of the last successful read.
            is TailEvent.Failed -> Unit
        }
    }

    private fun forwardSnapshots(event: TailEvent) {
        when (event) {
            is TailEvent.Read -> if (event.records.isNotEmpty()) {
                val snapshots = event.records.mapNotNull(SnapshotCodec::decode)
                ring.offerBlocking(ConfigurationEvent.SnapshotsRead(snapshots.toPersistentList()))
            }
            is TailEvent.Gap -> ring.offerBlocking(ConfigurationEvent.SnapshotsLost)
            is TailEvent.BoundsRead -> Unit
            is TailEvent.Failed -> Unit
        }
    }

    override fun close() {
        stop(STOP_TIMEOUT)
        tails.get().forEach { it.stop(STOP_TIMEOUT) }
    }
}
