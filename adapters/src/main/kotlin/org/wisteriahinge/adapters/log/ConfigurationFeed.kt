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

private val PAUSE_AFTER_FAILURE: Duration = Duration.ofMillis(250)
private val STOP_TIMEOUT: Duration = Duration.ofSeconds(1)

/**
 * Reads the start of the configuration from the log, then starts a tail for each of its two
 * streams. All threads report to [ring] and wait while it is full.
 */
public class ConfigurationFeed(log: PlatformLog, private val ring: Ring<ConfigurationEvent>) :
    Duty("configuration-start"),
    Closeable {
    private val log = RestartDetectingLog(log)
    private val tails = AtomicReference<PersistentList<LogTailDuty>>(persistentListOf())

    override fun runOnce() {
        log.readConfigurationStart().onSuccess(::follow).onFailure(::pause)
    }

    private fun follow(start: ConfigurationStart) {
        ring.offerBlocking(start.loaded)
        val started = persistentListOf(
            LogTailDuty(LogStream.Configuration, log, start.loaded.readFrom, ::acceptRevisions),
            LogTailDuty(
                LogStream.ConfigurationSnapshot,
                log,
                start.snapshotsReadFrom,
                ::acceptSnapshots
            )
        )
        tails.set(started)
        started.forEach { it.start() }
        // The tails go on from here; this duty has nothing left to do.
        Thread.currentThread().interrupt()
    }

    private fun pause(failure: LogFailure) {
        logger.warn { "reading the configuration at startup: ${failure.message}" }
        Thread.sleep(PAUSE_AFTER_FAILURE.toMillis())
    }

    private fun acceptRevisions(event: TailEvent) {
        when (event) {
            is TailEvent.Read -> ring.offerBlocking(
                ConfigurationEvent.RecordsRead(
                    event.records.map(RevisionCodec::decode).toPersistentList()
                )
            )
            is TailEvent.Gap -> ring.offerBlocking(ConfigurationEvent.RecordsLost(event.earliest))
            // These tails begin at a given offset and do not look for the bounds.
            is TailEvent.BoundsRead -> Unit
            // The decisions notice by the age of the last answer.
            is TailEvent.Failed -> Unit
        }
    }

    private fun acceptSnapshots(event: TailEvent) {
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
