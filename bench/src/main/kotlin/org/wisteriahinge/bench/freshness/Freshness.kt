package org.wisteriahinge.bench.freshness

import java.time.Duration
import java.time.Instant
import java.util.SplittableRandom
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.wisteriahinge.app.PropagationBounds
import org.wisteriahinge.core.watch.FreshnessBudget
import org.wisteriahinge.core.watch.WatchTiming

/** Scenario that follows topics through relays that stand still, fall silent or lose the store. */
internal const val FRESHNESS: String = "freshness"

private val START: Instant = Instant.parse("2026-01-01T00:00:00Z")
private val TICK: Duration = Duration.ofMillis(5)
private val WARM_UP: Duration = Duration.ofSeconds(5)
private val LENGTH: Duration = Duration.ofSeconds(40)
private const val LONGEST_WRITE_GAP_MILLIS = 1_200L

/** Time after a fault of its own from which an instance must keep the bound again. */
private val STABILITY: Duration = Duration.ofSeconds(3)

/** Period over which the rate of calls while the first relay stands still is taken. */
private val RELAY_LOSS: Duration = Duration.ofSeconds(20)

/** A write that the instance [instance], itself undisturbed, did not know within the bound. */
internal data class LateRecord(val instance: Int, val writtenAt: Duration)

/** Result of following one topic: late records, the greatest age, and the reads of the store. */
internal data class FreshnessRun(
    val late: PersistentList<LateRecord>,
    val maxAge: Duration,
    val storeReadsPerSecond: Double,
    val storeReadsInBusiestSecond: Int
)

/** Follows a topic for [LENGTH] with [faults] and records that are written at [writes]. */
internal fun follow(
    budget: FreshnessBudget,
    timing: WatchTiming,
    instances: Int,
    seed: Long,
    faults: PersistentList<FaultPeriod>,
    writes: PersistentList<Instant> = drawWrites(seed)
): FreshnessRun {
    val world = FreshnessWorld(budget, timing, seed, faults).withInstances(instances)
    return FreshnessPlay(world, writes).run()
}

private fun drawWrites(seed: Long): PersistentList<Instant> {
    val random = SplittableRandom(seed)
    return generateSequence(START + WARM_UP) {
        it.plusMillis(random.nextLong(LONGEST_WRITE_GAP_MILLIS))
    }.takeWhile { it < START + LENGTH }.toPersistentList()
}

/** Plays [world] tick by tick. Confined to one thread. */
private class FreshnessPlay(
    private var world: FreshnessWorld,
    private val writes: PersistentList<Instant>
) {
    private var late = persistentListOf<LateRecord>()
    private var maxAge = Duration.ZERO

    fun run(): FreshnessRun {
        generateSequence(START) { it + TICK }.takeWhile { it < START + LENGTH }.forEach(::tick)
        val reads = world.storeReads.filter { it >= START + WARM_UP }
        val busiest = reads.groupingBy { it.epochSecond }.eachCount().values.maxOrNull() ?: 0
        val perSecond = reads.size.toDouble() / (LENGTH - WARM_UP).toSeconds()
        return FreshnessRun(late, maxAge, perSecond, busiest)
    }

    private fun tick(now: Instant) {
        world = writes.filter { it > now - TICK && it <= now }
            .fold(world) { all, _ -> all.written(now) }
        world = world.step(now)
        if (now >= START + WARM_UP) noteAges(now)
        world.writes.withIndex()
            .filter { (_, at) -> at + world.budget.bound > now - TICK }
            .filter { (_, at) -> at + world.budget.bound <= now }
            .forEach { (number, at) -> noteLate(number, at) }
    }

    private fun noteAges(now: Instant) {
        val ages = world.instances.indices.filter { isUndisturbed(it, now - STABILITY, now) }
            .mapNotNull { world.instances[it].watch.currentAsOf }
            .map { Duration.between(it, now) }
        maxAge = (ages + maxAge).max()
    }

    private fun noteLate(number: Int, writtenAt: Instant) {
        val dueAt = writtenAt + world.budget.bound
        val found = world.instances.indices
            .filter { world.instances[it].watch.next.offset <= number }
            .filter { isUndisturbed(it, writtenAt - STABILITY, dueAt) }
            .map { LateRecord(it, Duration.between(START, writtenAt)) }
        late = late.addAll(found)
    }

    /** A relay whose answers are lost is itself undisturbed. */
    private fun isUndisturbed(index: Int, from: Instant, until: Instant): Boolean =
        world.faults.none {
            it.fault.instance == index && it.fault !is FreshnessFault.RelaySilent &&
                it.from <= until && it.until >= from
        }
}

private class Topic(val bound: Duration, val timingOf: (FreshnessBudget) -> WatchTiming)

/** The four topics that `front` follows. */
private fun topics(bounds: PropagationBounds) = listOf(
    Topic(bounds.configuration) { WatchTiming.waiting(it) },
    Topic(bounds.targets) { WatchTiming.polling(it) },
    Topic(bounds.crashes) { WatchTiming.waiting(it) },
    Topic(bounds.instances) { WatchTiming.waiting(it) }
)

/**
 * Follows all topics with [instances] instances: without faults and records, while the first relay
 * stands still, and with random faults. Returns one JSON object.
 */
internal fun runFreshness(instances: Int, seed: Long): JsonObject {
    val end = START + LENGTH
    val relayLost = FaultPeriod(FreshnessFault.Frozen(0), end - RELAY_LOSS, end)
    val quiet = persistentListOf<Instant>()
    val calm = followAll(instances, seed, persistentListOf(), quiet)
    val lost = followAll(instances, seed, persistentListOf(relayLost), quiet)
    val faults = drawFaults(seed, instances, START + WARM_UP, end)
    val faulty = followAll(instances, seed, faults, drawWrites(seed))
    return buildJsonObject {
        put("scenario", FRESHNESS)
        put("seed", seed)
        put("instances", instances)
        put("late", faulty.sumOf { it.late.size })
        put("max_age_ms", faulty.first().maxAge.toMillis())
        put("store_reads_per_s", calm.sumOf { it.storeReadsPerSecond })
        put("store_reads_per_s_relay_lost", lostRate(lost, calm))
        put("busiest_second", lost.sumOf { it.storeReadsInBusiestSecond })
    }
}

/** The rate of reads while the relay is lost; before, it is that of the calm run. */
private fun lostRate(lost: List<FreshnessRun>, calm: List<FreshnessRun>): Double {
    val measured = (LENGTH - WARM_UP).toSeconds()
    val before = calm.sumOf { it.storeReadsPerSecond } * (measured - RELAY_LOSS.toSeconds())
    val all = lost.sumOf { it.storeReadsPerSecond } * measured
    return (all - before) / RELAY_LOSS.toSeconds()
}

private fun followAll(
    instances: Int,
    seed: Long,
    faults: PersistentList<FaultPeriod>,
    writes: PersistentList<Instant>
): List<FreshnessRun> = topics(PropagationBounds()).map { topic ->
    val budget = FreshnessBudget(topic.bound)
    follow(budget, topic.timingOf(budget), instances, seed, faults, writes)
}
