package org.wisteriahinge.bench.policy

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import org.HdrHistogram.Histogram
import org.wisteriahinge.core.model.Repeatability
import org.wisteriahinge.core.routing.PROBE_COST_MILLIS

/** How a request ended. */
internal sealed interface Ending {
    /** Answered by a target with [status]. */
    data class Answered(val status: Int) : Ending

    /** Refused by the load balancer. */
    data object Refused : Ending
}

/** A request and its end. */
internal data class Outcome(val request: SimRequest, val endedAtMicros: Long, val ending: Ending) {
    val latencyMicros: Long get() = endedAtMicros - request.atMicros

    fun good(deadlineMillis: Long): Boolean = ending is Ending.Answered && ending.status < 500 &&
        latencyMicros <= deadlineMillis * MICROS_PER_MILLI
}

/**
 * What a run recorded. [probes] counts probes by target and second. [crashTimes] and
 * [crashingSends] hold times in microseconds by the origin of a crashing request, and [runs] those
 * of requests that may not be repeated, by their id.
 */
internal data class RunResult(
    val scenario: Scenario,
    val outcomes: PersistentList<Outcome> = persistentListOf(),
    val attempts: Int = 0,
    val retries: Int = 0,
    val probes: PersistentMap<ProbeCell, Int> = persistentHashMapOf(),
    val startedAfterBound: Int = 0,
    val cutOff: Int = 0,
    val crashes: PersistentMap<Long, Int> = persistentHashMapOf(),
    val limitedArrivals: PersistentList<LimitedArrival> = persistentListOf(),
    val crashTimes: PersistentMap<Long, PersistentList<Long>> = persistentHashMapOf(),
    val crashingSends: PersistentMap<Long, PersistentList<Long>> = persistentHashMapOf(),
    val runs: PersistentMap<Long, PersistentList<Long>> = persistentHashMapOf()
)

/** Records that a target began to run [request] at [atMicros], if that may happen once only. */
internal fun RunResult.ran(request: SimRequest, atMicros: Long): RunResult =
    when (request.kind.repeatability) {
        Repeatability.Repeatable -> this
        Repeatability.AtMostOnce, Repeatability.OncePerRequest ->
            copy(runs = runs.adding(request.id, atMicros))
    }

/** Records that the request [origin] crashed a target at [atMicros]. */
internal fun RunResult.crashed(origin: Long, atMicros: Long): RunResult =
    copy(crashTimes = crashTimes.adding(origin, atMicros))

/** Records that the crashing request [origin] was sent to a target at [atMicros]. */
internal fun RunResult.sentCrashing(origin: Long, atMicros: Long): RunResult =
    copy(crashingSends = crashingSends.adding(origin, atMicros))

private fun PersistentMap<Long, PersistentList<Long>>.adding(
    key: Long,
    value: Long
): PersistentMap<Long, PersistentList<Long>> =
    put(key, (this[key] ?: persistentListOf()).add(value))

/** A request that reached a [target] that names a limit. */
internal data class LimitedArrival(val target: Int, val atMicros: Long)

/** A target and a whole second of the run. */
internal data class ProbeCell(val target: Int, val second: Long)

private const val MAX_LATENCY_MICROS = 600_000_000L
private const val SIGNIFICANT_DIGITS = 3

internal fun RunResult.measured(): List<Outcome> =
    outcomes.filter { it.request.atMicros >= scenario.warmupMillis * MICROS_PER_MILLI }

/**
 * Latencies of the answers among [among], in microseconds. A request that waited in vain up to
 * its deadline counts with that time, so that losing slow requests does not improve the figures.
 */
internal fun RunResult.latencies(among: List<Outcome>): Histogram {
    val histogram = emptyHistogram()
    val deadlineMicros = scenario.deadlineMillis * MICROS_PER_MILLI
    among.filter { it.ending is Ending.Answered || it.latencyMicros >= deadlineMicros }.forEach {
        histogram.recordValue(it.latencyMicros.coerceAtMost(MAX_LATENCY_MICROS))
    }
    return histogram
}

internal fun emptyHistogram(): Histogram = Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS)

internal fun Histogram.millisAt(percentile: Double): Double =
    getValueAtPercentile(percentile) / MICROS_PER_MILLI.toDouble()

/** Requests answered well over those that full capacity could have answered at each demand. */
internal fun RunResult.goodputRatio(): Double {
    val among = measured()
    val ends = scenario.demand.drop(1).map { it.atMillis } + scenario.durationMillis
    val possible = scenario.demand.zip(ends).sumOf { (step, end) ->
        val start = maxOf(step.atMillis, scenario.warmupMillis)
        val micros = start * MICROS_PER_MILLI..<end * MICROS_PER_MILLI
        val offered = among.count { it.request.atMicros in micros }
        minOf(offered.toDouble(), scenario.capacityPerSecond * (end - start) / 1_000)
    }
    return among.count { it.good(scenario.deadlineMillis) } / possible
}

internal fun RunResult.refusedRatio(): Double = measured().let { among ->
    among.count { it.ending is Ending.Refused }.toDouble() / among.size
}

internal fun RunResult.probed(cell: ProbeCell): RunResult =
    if (cell.second * 1_000 >= scenario.durationMillis) {
        this
    } else {
        copy(probes = probes.put(cell, (probes[cell] ?: 0) + 1))
    }

/** Slot time of the probes over the slot time of all targets. */
internal fun RunResult.probeLoadRatio(): Double {
    val slotMillis = scenario.targets * scenario.slots * scenario.durationMillis
    return probes.values.sum() * PROBE_COST_MILLIS / slotMillis.toDouble()
}

/** The highest ratio of probes to slot time of any target in any whole second. */
internal fun RunResult.probeLoadRatioMaxSecond(): Double =
    (probes.values.maxOrNull() ?: 0) * PROBE_COST_MILLIS / (scenario.slots * 1_000.0)

internal fun RunResult.retryRatio(): Double = retries.toDouble() / maxOf(1, outcomes.size)
