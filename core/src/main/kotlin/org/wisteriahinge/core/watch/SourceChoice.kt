package org.wisteriahinge.core.watch

import java.time.Duration
import java.time.Instant

/** Time for which the topic itself is read after a relay failed. */
private val RELAY_RETRY_DELAY: Duration = Duration.ofSeconds(1)

/** A relay is not asked when less time is left for its answer. */
private val MIN_RELAY_TIMEOUT: Duration = Duration.ofMillis(50)

/** The source of a read of a topic. */
public sealed interface TopicSource {
    /** The relay at [index] in the settings, from 0. */
    public data class Relay(val index: Int) : TopicSource

    /** The topic itself. */
    public data object Origin : TopicSource
}

/**
 * Selects the source of each read of a topic: one of [relays] instances that read it on behalf of
 * their peers, or the topic itself.
 *
 * The topic itself is read once the records known here are as old as [takeover], until
 * [originUntil], and after a relay failed. It is the age that counts, not the answers of a relay: a
 * relay that stands still or has lost the topic may go on to answer, or never answer at all. All
 * sources use the positions of the topic, so no records are lost when the source changes.
 */
public data class SourceChoice(
    val relays: Int = 0,
    val takeover: Duration = Duration.ZERO,
    val current: Int = 0,
    val originUntil: Instant = Instant.EPOCH,
    val hasOriginFailed: Boolean = false
) {
    /** The source to read at [now] if the known records are current as of [currentAsOf]. */
    public fun source(currentAsOf: Instant?, now: Instant): TopicSource = when {
        relays == 0 -> TopicSource.Origin
        // This instance may be cut off from the topic alone.
        hasOriginFailed -> TopicSource.Relay(current)
        now < originUntil -> TopicSource.Origin
        currentAsOf != null && untilTakeover(currentAsOf, now) < MIN_RELAY_TIMEOUT ->
            TopicSource.Origin
        else -> TopicSource.Relay(current)
    }

    /** The time after [now] at which records that are current as of [currentAsOf] are too old. */
    public fun untilTakeover(currentAsOf: Instant, now: Instant): Duration =
        Duration.between(now, currentAsOf + takeover)

    /** The current relay failed at [now]. The topic itself is read, and later the next relay. */
    public fun relayFailed(now: Instant): SourceChoice = nextRelay(now)

    /** A read of the topic itself that began at [startedAt] succeeded. */
    public fun originRead(startedAt: Instant): SourceChoice = when {
        relays == 0 -> this
        startedAt < originUntil -> copy(hasOriginFailed = false)
        // The relay kept answering, but its records were as old as those known here.
        else -> nextRelay(startedAt)
    }

    /** A read of the topic itself failed. */
    public fun originFailed(): SourceChoice = copy(hasOriginFailed = relays > 0)

    /** A relay answered. */
    public fun relayRead(): SourceChoice = copy(hasOriginFailed = false)

    private fun nextRelay(now: Instant): SourceChoice = copy(
        current = (current + 1) % relays,
        originUntil = now + RELAY_RETRY_DELAY,
        hasOriginFailed = false
    )
}
