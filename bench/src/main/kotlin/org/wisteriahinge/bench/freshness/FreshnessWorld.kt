package org.wisteriahinge.bench.freshness

import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.wisteriahinge.core.watch.FreshnessBudget
import org.wisteriahinge.core.watch.SourceChoice
import org.wisteriahinge.core.watch.TopicPosition
import org.wisteriahinge.core.watch.TopicSource
import org.wisteriahinge.core.watch.WatchEvent
import org.wisteriahinge.core.watch.WatchRead
import org.wisteriahinge.core.watch.WatchState
import org.wisteriahinge.core.watch.WatchTiming

/** The first instances are relays, and the first relay reads the store. */
internal const val RELAYS: Int = 3

/** Time in which the store or a relay answers a read that does not wait. */
private val LATENCY: Duration = Duration.ofMillis(5)

/** A read in progress; [relayReads] are those that its relay had completed when it began. */
internal data class ReadInProgress(
    val read: WatchRead,
    val startedAt: Instant,
    val relayReads: Int,
    val isLost: Boolean = false
)

/** An instance that follows the topic, and the number of its completed [reads]. */
internal data class FollowingInstance(
    val watch: WatchState,
    val inProgress: ReadInProgress? = null,
    val reads: Int = 0
)

/**
 * Instances that follow one topic through relays on a virtual clock, with the decisions of the
 * product. [writes] are the moments at which the store accepted records.
 */
internal data class FreshnessWorld(
    val budget: FreshnessBudget,
    val timing: WatchTiming,
    val seed: Long,
    val faults: PersistentList<FaultPeriod>,
    val writes: PersistentList<Instant> = persistentListOf(),
    val storeReads: PersistentList<Instant> = persistentListOf(),
    val instances: PersistentList<FollowingInstance> = persistentListOf()
) {
    /** A world with [count] instances that have read nothing. */
    fun withInstances(count: Int): FreshnessWorld =
        copy(instances = List(count) { FollowingInstance(newWatch(it)) }.toPersistentList())

    private fun newWatch(index: Int): WatchState {
        val instanceSeed = seed + index
        val choice = when {
            index == 0 -> SourceChoice()
            index < RELAYS -> SourceChoice(relays = 1, budget.relayTakeover)
            else -> SourceChoice(
                RELAYS,
                budget.followerTakeover(instanceSeed),
                current = index % RELAYS
            )
        }
        return WatchState(timing, instanceSeed, choice)
    }

    /** The store accepts a record at [now]. */
    fun written(now: Instant): FreshnessWorld = copy(writes = writes.add(now))

    /** Lets each instance act at [now]. */
    fun step(now: Instant): FreshnessWorld =
        instances.indices.fold(this) { world, index -> world.stepInstance(index, now) }

    private fun stepInstance(index: Int, now: Instant): FreshnessWorld {
        val instance = instances[index]
        val inProgress = instance.inProgress
        return when {
            isUnder(now) { it == FreshnessFault.Down(index) } ->
                if (instance.reads == 0 && inProgress == null) {
                    this
                } else {
                    withInstance(index, FollowingInstance(newWatch(index)))
                }
            isUnder(now) { it == FreshnessFault.Frozen(index) } -> this
            inProgress != null -> continueRead(index, inProgress, now)
            now >= instance.watch.nextReadAt -> startRead(index, now)
            else -> this
        }
    }

    private fun startRead(index: Int, now: Instant): FreshnessWorld {
        val instance = instances[index]
        val read = instance.watch.nextRead(now)
        val relayReads = when (val source = read.source) {
            TopicSource.Origin -> 0
            is TopicSource.Relay -> instances[source.index].reads
        }
        val reading = instance.copy(inProgress = ReadInProgress(read, now, relayReads))
        val next = withInstance(index, reading)
        if (read.source != TopicSource.Origin) return next
        return next.copy(storeReads = storeReads.add(now))
    }

    private fun continueRead(index: Int, current: ReadInProgress, now: Instant): FreshnessWorld {
        val isLost = current.isLost || loses(index, current.read.source, now)
        val reading = current.copy(isLost = isLost)
        val answer = if (isLost) null else answerTo(reading, now)
        val event = answer ?: reading.timeoutAt(now) ?: return if (isLost == current.isLost) {
            this
        } else {
            withInstance(index, instances[index].copy(inProgress = reading))
        }
        val decision = instances[index].watch.decide(event, now)
        val reads = instances[index].reads + if (event is WatchEvent.RecordsRead<*>) 1 else 0
        return withInstance(index, FollowingInstance(decision.state, inProgress = null, reads))
    }

    /** Whether the answer that [source] sends to the instance [index] at [now] is lost. */
    private fun loses(index: Int, source: TopicSource, now: Instant): Boolean = when (source) {
        TopicSource.Origin -> isUnder(now) { it == FreshnessFault.StoreCut(index) }
        is TopicSource.Relay -> isUnder(now) {
            it == FreshnessFault.RelaySilent(source.index) ||
                it == FreshnessFault.Down(source.index)
        }
    }

    private fun ReadInProgress.timeoutAt(now: Instant): WatchEvent<Int>? =
        if (now >= startedAt + read.timeout) WatchEvent.Failed(startedAt, read.source) else null

    private fun answerTo(reading: ReadInProgress, now: Instant): WatchEvent<Int>? {
        if (now < reading.startedAt + LATENCY) return null
        return when (val source = reading.read.source) {
            TopicSource.Origin -> answerOfStore(reading, now)
            is TopicSource.Relay -> answerOfRelay(reading, source, now)
        }
    }

    private fun answerOfStore(reading: ReadInProgress, now: Instant): WatchEvent<Int>? {
        val end = TopicPosition(era = 0, offset = writes.size.toLong())
        val startedAt = reading.startedAt
        return when (val read = reading.read) {
            is WatchRead.Newest -> WatchEvent.NewestRead(startedAt, persistentListOf(), end)
            is WatchRead.Changes -> when {
                end > read.from -> WatchEvent.ChangesRead(startedAt, persistentListOf(), end)
                now >= startedAt + read.waitUpTo + LATENCY -> WatchEvent.ChangesRead(
                    startedAt,
                    persistentListOf(),
                    end,
                    currentAsOf = startedAt + read.waitUpTo
                )
                else -> null
            }
        }
    }

    private fun answerOfRelay(
        reading: ReadInProgress,
        source: TopicSource.Relay,
        now: Instant
    ): WatchEvent<Int>? {
        val relay = instances[source.index]
        if (isUnder(now) { it == FreshnessFault.Frozen(source.index) }) return null
        val asOf = relay.watch.currentAsOf
        val startedAt = reading.startedAt
        if (asOf == null || asOf < now - budget.latestTakeover) {
            return WatchEvent.Failed(startedAt, source)
        }
        return when (val read = reading.read) {
            is WatchRead.Newest ->
                WatchEvent.NewestRead(startedAt, persistentListOf(), relay.watch.next, asOf, source)
            is WatchRead.Changes -> {
                val isReady = relay.watch.next > read.from || relay.reads > reading.relayReads ||
                    now >= startedAt + read.waitUpTo
                if (!isReady) return null
                val next = maxOf(relay.watch.next, read.from)
                WatchEvent.ChangesRead(startedAt, persistentListOf(), next, asOf, source)
            }
        }
    }

    private fun isUnder(now: Instant, matches: (FreshnessFault) -> Boolean): Boolean =
        faults.any { now in it && matches(it.fault) }

    private fun withInstance(index: Int, next: FollowingInstance): FreshnessWorld =
        copy(instances = instances.set(index, next))
}
