package org.wisteriahinge.core.watch

import java.time.Duration
import java.time.Instant

/** Time for which the topic itself is read after a relay failed. */
private val RELAY_RETRY_DELAY: Duration = Duration.ofSeconds(1)

/** The source of the next read of a topic. */
public sealed interface TopicSource {
    /** The relay at [index] in the settings, from 0. */
    public data class Relay(val index: Int) : TopicSource

    /** The topic itself. */
    public data object Origin : TopicSource
}

/**
 * Selects the source of a topic: one of [relays] instances that read it on behalf of their peers,
 * or the topic itself until [originUntil].
 *
 * All sources use the offsets of the topic, so no records are lost when the source changes.
 */
public data class RelayChoice(
    val relays: Int,
    val current: Int,
    val originUntil: Instant = Instant.EPOCH
) {
    /** The source to read at [now]. */
    public fun source(now: Instant): TopicSource =
        if (relays == 0 || now < originUntil) TopicSource.Origin else TopicSource.Relay(current)

    /** The current relay failed at [now]. The next one is tried after a delay. */
    public fun relayFailed(now: Instant): RelayChoice =
        copy(current = (current + 1) % relays, originUntil = now + RELAY_RETRY_DELAY)
}
