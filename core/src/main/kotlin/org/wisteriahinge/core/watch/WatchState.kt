package org.wisteriahinge.core.watch

import java.time.Duration
import java.time.Instant
import java.util.SplittableRandom
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/** Part of the time limit of a read at a relay that is left for its answer to arrive. */
private val RELAY_ANSWER_TIME: Duration = Duration.ofMillis(100)

private const val MAX_BACK_OFF_DOUBLINGS = 6

/** The next state, and the updates to publish in order. */
public data class WatchDecision<R>(
    val state: WatchState,
    val updates: PersistentList<WatchUpdate<R>>
)

/** The state of the connection that was last published. */
public sealed interface WatchConnection {
    public data object Unknown : WatchConnection
    public data object Up : WatchConnection
    public data object Down : WatchConnection
}

/**
 * The position in a topic and the schedule of its reads.
 *
 * The next record to read is the one at [next]. [hasRead] tells whether the newest records were
 * read before. All that was written before [currentAsOf] is known. [failures] counts consecutive
 * failed reads, and [failedAt] is when the last failed read began. [seed] determines the random
 * part of the back-off.
 */
public data class WatchState(
    val timing: WatchTiming,
    val seed: Long,
    val choice: SourceChoice = SourceChoice(),
    val phase: WatchPhase = watchChart.initial,
    val next: TopicPosition = TopicPosition.Start,
    val hasRead: Boolean = false,
    val currentAsOf: Instant? = null,
    val failures: Int = 0,
    val failedAt: Instant? = null,
    val connection: WatchConnection = WatchConnection.Unknown,
    val nextReadAt: Instant = Instant.EPOCH
) {
    /** The read to begin at [now], which must not be before [nextReadAt]. */
    public fun nextRead(now: Instant): WatchRead = when (val source = source(now)) {
        TopicSource.Origin -> {
            val wait = originWait(now)
            read(source, wait, wait + timing.readTimeout)
        }
        is TopicSource.Relay -> {
            val timeout = relayTimeout(now)
            read(source, timeout - RELAY_ANSWER_TIME, timeout)
        }
    }

    /** Records whose age no source told count as old, so that the topic itself is read next. */
    private fun source(now: Instant): TopicSource =
        choice.source(currentAsOf ?: Instant.EPOCH.takeIf { hasRead }, now)

    private fun read(source: TopicSource, wait: Duration, timeout: Duration): WatchRead =
        when (phase) {
            WatchPhase.Unread -> WatchRead.Newest(source, timing.readTimeout)
            WatchPhase.Following ->
                WatchRead.Changes(source, timeout, next, maxOf(wait, Duration.ZERO))
            // A store that is down may accept a read and never answer it, even after its return.
            WatchPhase.Disconnected ->
                WatchRead.Changes(source, timing.readTimeout, next, Duration.ZERO)
        }

    /** A read ends when the known records reach the age of [WatchTiming.waitUpTo]. */
    private fun originWait(now: Instant): Duration {
        if (currentAsOf == null) return timing.waitUpTo
        val left = timing.waitUpTo - Duration.between(currentAsOf, now)
        return left.coerceIn(Duration.ZERO, timing.waitUpTo)
    }

    private fun relayTimeout(now: Instant): Duration {
        if (currentAsOf == null) return timing.readTimeout
        return choice.untilTakeover(currentAsOf, now)
    }

    /** Decides on [event] at [now]. */
    public fun <R> decide(event: WatchEvent<R>, now: Instant): WatchDecision<R> =
        decideCurrent(if (event.isOutdated()) event.asFailed() else event, now)

    /** A source that has not noticed that an era began tells nothing that holds. */
    private fun WatchEvent<*>.isOutdated(): Boolean = when (this) {
        is WatchEvent.RecordsRead<*> -> this.next.era < this@WatchState.next.era
        is WatchEvent.Expired, is WatchEvent.Failed -> false
    }

    private fun <R> decideCurrent(event: WatchEvent<R>, now: Instant): WatchDecision<R> {
        val step = watchChart.step(phase, event.trigger())
        val read = copy(
            choice = choice.after(event, now),
            phase = step.state,
            next = event.positionAfter(),
            hasRead = hasRead || event is WatchEvent.NewestRead,
            currentAsOf = event.currentAsOfAfter(),
            failures = event.failuresAfter(),
            failedAt = event.failedAtAfter()
        )
        val scheduled = read.copy(nextReadAt = read.nextReadAfter(event, now))
        return step.effects.fold(WatchDecision(scheduled, persistentListOf())) { decision, action ->
            decision.perform(action, event, now, before = this)
        }
    }

    private fun SourceChoice.after(event: WatchEvent<*>, now: Instant): SourceChoice =
        when (event.source) {
            is TopicSource.Relay ->
                if (event is WatchEvent.Failed) relayFailed(now) else relayRead()
            TopicSource.Origin ->
                if (event is WatchEvent.Failed) originFailed() else originRead(event.startedAt)
        }

    private fun WatchEvent<*>.positionAfter(): TopicPosition = when (this) {
        is WatchEvent.RecordsRead<*> -> this.next
        is WatchEvent.Expired, is WatchEvent.Failed -> this@WatchState.next
    }

    private fun WatchEvent<*>.currentAsOfAfter(): Instant? = when (this) {
        is WatchEvent.RecordsRead<*> ->
            listOfNotNull(this@WatchState.currentAsOf, this.currentAsOf).maxOrNull()
        is WatchEvent.Expired, is WatchEvent.Failed -> this@WatchState.currentAsOf
    }

    /** Failed reads of relays do not count, because the topic itself is read at once. */
    private fun WatchEvent<*>.failuresAfter(): Int = when (this) {
        is WatchEvent.RecordsRead<*>, is WatchEvent.Expired -> 0
        is WatchEvent.Failed -> if (source == TopicSource.Origin) failures + 1 else failures
    }

    private fun WatchEvent<*>.failedAtAfter(): Instant? =
        if (this is WatchEvent.Failed && source == TopicSource.Origin) startedAt else failedAt

    private fun nextReadAfter(event: WatchEvent<*>, now: Instant): Instant = when (event) {
        // After expired records, the newest ones are read without delay.
        is WatchEvent.Expired -> now
        is WatchEvent.Failed -> when {
            event.source is TopicSource.Relay -> now
            // A single failed read must not delay the next one by a whole period.
            failures == 1 -> now
            else -> event.startedAt + timing.minPeriod
        }
        is WatchEvent.RecordsRead<*> -> event.startedAt + periodAfter(event, now)
    }

    private fun periodAfter(event: WatchEvent.RecordsRead<*>, now: Instant): Duration = when {
        event.source is TopicSource.Relay -> RELAY_PERIOD
        // The answer held only a part of the records.
        event.currentAsOf == null -> RELAY_PERIOD
        source(now) is TopicSource.Relay -> RELAY_PERIOD
        else -> timing.minPeriod
    }

    private fun <R> WatchDecision<R>.perform(
        action: WatchAction,
        event: WatchEvent<R>,
        now: Instant,
        before: WatchState
    ): WatchDecision<R> = when (action) {
        WatchAction.PublishNewest -> {
            val isRestored = before.hasRead && state.next.era > before.next.era
            publish(WatchUpdate.Newest(event.records(), isRestored))
        }
        WatchAction.PublishChanges -> publish(WatchUpdate.Changes(event.records()))
        WatchAction.AnnounceLost -> withConnection(WatchConnection.Down, WatchUpdate.Lost)
        WatchAction.AnnounceRegained ->
            withConnection(WatchConnection.Up, WatchUpdate.Regained(state.failedAt))
        WatchAction.BackOff ->
            copy(state = state.copy(nextReadAt = maxOf(state.nextReadAt, now + state.backOff())))
    }

    private fun <R> WatchDecision<R>.publish(update: WatchUpdate<R>) =
        copy(updates = updates.add(update))

    /** Publishes [change] unless [connection] was published before. */
    private fun <R> WatchDecision<R>.withConnection(
        connection: WatchConnection,
        change: WatchUpdate<R>
    ): WatchDecision<R> = if (state.connection == connection) {
        this
    } else {
        copy(state = state.copy(connection = connection)).publish(change)
    }

    /** A random part of the delay, at least half, so that instances do not retry simultaneously. */
    private fun backOff(): Duration {
        val doublings = (failures - 1).coerceIn(0, MAX_BACK_OFF_DOUBLINGS)
        val longest = minOf(timing.initialBackOff.multipliedBy(1L shl doublings), timing.maxBackOff)
        val share = (1 + SplittableRandom(seed + failures).nextDouble()) / 2
        return Duration.ofNanos((longest.toNanos() * share).toLong())
    }
}

private fun WatchEvent<*>.asFailed() = WatchEvent.Failed(startedAt, source)

private fun WatchEvent<*>.trigger(): WatchTrigger = when (this) {
    is WatchEvent.NewestRead -> WatchTrigger.NewestRead
    is WatchEvent.ChangesRead -> WatchTrigger.ChangesRead
    is WatchEvent.Expired -> WatchTrigger.Expired
    is WatchEvent.Failed -> when (source) {
        is TopicSource.Relay -> WatchTrigger.RelayFailed
        TopicSource.Origin -> WatchTrigger.Failed
    }
}

private fun <R> WatchEvent<R>.records(): PersistentList<R> = when (this) {
    is WatchEvent.RecordsRead<R> -> records
    is WatchEvent.Expired, is WatchEvent.Failed -> persistentListOf()
}
