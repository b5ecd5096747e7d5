package org.wisteriahinge.runtime

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.onFailure
import java.time.Clock
import java.time.Duration
import kotlinx.collections.immutable.PersistentList
import org.wisteriahinge.core.watch.RelayChoice
import org.wisteriahinge.core.watch.TopicSource

/** Longest wait at a relay; one that says nothing for longer has failed. */
private val RELAY_READ_TIMEOUT: Duration = Duration.ofMillis(900)

/**
 * A topic that is read through one of [relays], and from [origin] while that one does not serve.
 *
 * Used by one duty.
 */
public class RelayedTopic(
    private val relays: PersistentList<KeyedTopic>,
    private val origin: KeyedTopic,
    firstRelay: Int,
    private val clock: Clock
) : KeyedTopic {
    private var choice =
        RelayChoice(relays.size, if (relays.isEmpty()) 0 else firstRelay % relays.size)

    override fun newest(): Result<TopicRecords, TopicFailure> = read { it.newest() }

    override fun changes(from: Long, waitUpTo: Duration): Result<TopicRecords, TopicFailure> =
        when (choice.source(clock.instant())) {
            is TopicSource.Relay -> read { it.changes(from, RELAY_READ_TIMEOUT) }
            TopicSource.Origin -> origin.changes(from, minOf(waitUpTo, maxOriginWait()))
        }

    /** While a relay failed, reads end in time to try the next one. */
    private fun maxOriginWait(): Duration =
        if (relays.isEmpty()) Duration.ofDays(1) else RELAY_READ_TIMEOUT

    private fun read(
        from: (KeyedTopic) -> Result<TopicRecords, TopicFailure>
    ): Result<TopicRecords, TopicFailure> = when (val source = choice.source(clock.instant())) {
        TopicSource.Origin -> from(origin)
        is TopicSource.Relay -> {
            val result = from(relays[source.index])
            if (result.failedAtRelay()) {
                choice = choice.relayFailed(clock.instant())
                from(origin)
            } else {
                result
            }
        }
    }

    private fun Result<TopicRecords, TopicFailure>.failedAtRelay(): Boolean {
        var failed = false
        onFailure { failed = it is TopicFailure.Unavailable }
        return failed
    }
}
