package org.wisteriahinge.core.watch

import java.time.Duration
import java.time.Instant

/** Time for which a source is left alone after a relay failed. */
private val RELAY_RETRY_DELAY: Duration = Duration.ofSeconds(1)

/** Where a topic is read next. */
public sealed interface TopicSource {
    /** The relay at place [index] of the settings. */
    public data class Relay(val index: Int) : TopicSource

    /** The topic itself. */
    public data object Origin : TopicSource
}

/**
 * Which source of a topic an instance reads: one of [relays] other instances that read it for
 * their peers, or the topic itself while none of them serves.
 *
 * The offsets of all sources are those of the topic, so that a change of source loses nothing.
 */
public data class RelayChoice(
    val relays: Int,
    val current: Int,
    val originUntil: Instant = Instant.EPOCH
) {
    /** The source to read at [now]. */
    public fun source(now: Instant): TopicSource =
        if (relays == 0 || now < originUntil) TopicSource.Origin else TopicSource.Relay(current)

    /** The relay in use failed at [now]; another one is tried after a pause. */
    public fun relayFailed(now: Instant): RelayChoice =
        copy(current = (current + 1) % relays, originUntil = now + RELAY_RETRY_DELAY)
}
