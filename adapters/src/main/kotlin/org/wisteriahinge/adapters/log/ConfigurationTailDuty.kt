package org.wisteriahinge.adapters.log

import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.github.oshai.kotlinlogging.KotlinLogging
import java.time.Duration
import kotlinx.collections.immutable.PersistentList
import org.wisteriahinge.core.configuration.ConfigurationState
import org.wisteriahinge.core.model.Configuration
import org.wisteriahinge.runtime.Duty
import org.wisteriahinge.runtime.EffectSink
import org.wisteriahinge.runtime.LogFailure
import org.wisteriahinge.runtime.LogRecord
import org.wisteriahinge.runtime.LogStream
import org.wisteriahinge.runtime.PlatformLog

private val logger = KotlinLogging.logger {}

private const val MAX_RECORDS_PER_READ = 64
private val WAIT_FOR_RECORDS: Duration = Duration.ofSeconds(1)
private val PAUSE_AFTER_FAILURE: Duration = Duration.ofMillis(250)

/** Follows the stream `configuration` and announces each revision that comes into force. */
public class ConfigurationTailDuty(
    private val log: PlatformLog,
    private val announce: EffectSink<Configuration>
) : Duty("configuration-tail") {
    private var state = ConfigurationState()

    override fun runOnce() {
        log.read(
            LogStream.Configuration,
            state.nextOffset,
            MAX_RECORDS_PER_READ,
            WAIT_FOR_RECORDS
        ).onSuccess(::accept).onFailure(::pause)
    }

    private fun accept(records: PersistentList<LogRecord>) {
        val before = state.inForce
        state = records.fold(state) { current, record ->
            RevisionCodec.decode(record)?.let(current::accept)
                ?: current.copy(nextOffset = record.offset + 1)
        }
        if (state.inForce.revision > before.revision) {
            logger.info { "configuration revision ${state.inForce.revision} is in force" }
            announce.perform(state.inForce)
        }
    }

    private fun pause(failure: LogFailure) {
        logger.warn { failure.message }
        if (failure is LogFailure.Expired) state = state.copy(nextOffset = failure.earliest)
        Thread.sleep(PAUSE_AFTER_FAILURE.toMillis())
    }
}
