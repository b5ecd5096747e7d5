package org.wisteriahinge.bench.policy

import kotlin.math.ln
import kotlin.random.Random
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList

internal const val MICROS_PER_MILLI = 1_000L
internal const val MICROS_PER_SECOND = 1_000_000L

/**
 * A request: when and where it arrives and how long it occupies a slot at normal speed. [origin] is
 * the id of the request that its caller sends again with this one.
 */
internal data class SimRequest(
    val id: Long,
    val atMicros: Long,
    val instance: Int,
    val kind: RequestKind,
    val workMicros: Double,
    val origin: Long = id
)

/** Part of a request's time that does not vary; the rest is exponential. */
private const val FIXED_PART = 0.3

/** The requests of a run; the same for every policy with the same [seed]. */
internal fun Scenario.requests(seed: Long): PersistentList<SimRequest> {
    val random = Random(seed)
    val first = nextRequest(random, previous = null)
    return generateSequence(first) { nextRequest(random, it) }
        .takeWhile { it.atMicros < durationMillis * MICROS_PER_MILLI }
        .toList()
        .toPersistentList()
}

private fun Scenario.nextRequest(random: Random, previous: SimRequest?): SimRequest {
    val from = previous?.atMicros ?: 0
    val perMicro = capacityPerSecond * demandAt(from) / 1_000_000
    val kind = drawKind(random)
    return SimRequest(
        id = (previous?.id ?: 0) + 1,
        atMicros = from + (random.exponential() / perMicro).toLong(),
        instance = random.nextInt(instances),
        kind = kind,
        workMicros = kind.meanMillis * MICROS_PER_MILLI *
            (FIXED_PART + (1 - FIXED_PART) * random.exponential())
    )
}

private fun Scenario.demandAt(micros: Long): Double =
    demand.last { it.atMillis * MICROS_PER_MILLI <= micros }.ratio

private fun Scenario.drawKind(random: Random): RequestKind {
    val draw = random.nextDouble() * kinds.sumOf { it.weight }
    val reached = kinds.runningFold(0.0) { sum, kind -> sum + kind.weight }.drop(1)
    return kinds[reached.indexOfFirst { draw < it }.coerceAtLeast(0)]
}

private fun Random.exponential(): Double = -ln(1 - nextDouble())
