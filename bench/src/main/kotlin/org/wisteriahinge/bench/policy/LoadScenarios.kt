package org.wisteriahinge.bench.policy

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.wisteriahinge.core.model.WorkClass

private const val PEAK_START_MILLIS = 3_000L
private const val PEAK_END_MILLIS = 8_000L
private const val WINDOW_MILLIS = 250L
private const val WINDOW_STEP_MILLIS = 50L

/** Demand goes from 40% to 300% of capacity for 5 s and back. */
internal val CREST = Scenario(
    name = "crest",
    durationMillis = 11_000,
    warmupMillis = 1_000,
    demand = persistentListOf(
        DemandStep(0, 0.4),
        DemandStep(PEAK_START_MILLIS, 3.0),
        DemandStep(PEAK_END_MILLIS, 0.4)
    ),
    extraFields = { result ->
        mapOf(
            "peak_goodput_ratio" to result.peakGoodputRatio(),
            "peak_p99_ms" to result.peakLatencyMillis(),
            "recovery_ms" to result.recoveryMillis()
        )
    }
)

private fun RunResult.arrivedIn(fromMillis: Long, toMillis: Long): List<Outcome> = outcomes.filter {
    it.request.atMicros >= fromMillis * MICROS_PER_MILLI &&
        it.request.atMicros < toMillis * MICROS_PER_MILLI
}

/** Good answers that ended during the peak over those that full capacity could have given. */
private fun RunResult.peakGoodputRatio(): Double {
    val peakMicros = PEAK_START_MILLIS * MICROS_PER_MILLI..PEAK_END_MILLIS * MICROS_PER_MILLI
    val good = outcomes.count { it.endedAtMicros in peakMicros && it.good(scenario.deadlineMillis) }
    return good / (scenario.capacityPerSecond * (PEAK_END_MILLIS - PEAK_START_MILLIS) / 1_000)
}

private fun RunResult.peakLatencyMillis(): Double =
    latencies(arrivedIn(PEAK_START_MILLIS, PEAK_END_MILLIS)).millisAt(99.0)

/**
 * Time from the end of the peak to the first window of arrivals that were all answered with a p99
 * at most that of the time before the peak; the rest of the run when there is none.
 */
private fun RunResult.recoveryMillis(): Double {
    val steady = latencies(arrivedIn(scenario.warmupMillis, PEAK_START_MILLIS)).millisAt(99.0)
    val starts = PEAK_END_MILLIS..scenario.durationMillis - WINDOW_MILLIS step WINDOW_STEP_MILLIS
    val recovered = starts.firstOrNull { start ->
        val window = arrivedIn(start, start + WINDOW_MILLIS)
        window.all { it.good(scenario.deadlineMillis) } &&
            latencies(window).millisAt(99.0) <= steady
    }
    return ((recovered ?: scenario.durationMillis) - PEAK_END_MILLIS).toDouble()
}

private const val LONG_SHARE = 0.03
private const val LONG_FACTOR = 50
private const val LONG_SHORT_DEMAND = 0.7

private val WITH_LONG: PersistentList<RequestKind> =
    MIXED_KINDS.fold(persistentListOf<RequestKind>()) { kinds, kind ->
        kinds.add(kind.copy(weight = kind.weight * (1 - LONG_SHARE)))
    }.add(
        RequestKind(
            "upload",
            weight = LONG_SHARE,
            meanMillis = LONG_FACTOR * STEADY.meanMillis,
            workClass = WorkClass.Long
        )
    )

/** 3% of requests run 50 times longer; the reference run has the same short requests only. */
internal val LONG_SHORT: Scenario = Scenario(
    name = "long-short",
    kinds = WITH_LONG,
    demand = persistentListOf(DemandStep(0, LONG_SHORT_DEMAND)),
    deadlineMillis = 10_000,
    extraFields = { result -> mapOf("short_p99_ms" to result.shortLatencyMillis()) }
).let { mixed ->
    val shortRatio = LONG_SHORT_DEMAND * (1 - LONG_SHARE) * STEADY.meanMillis / mixed.meanMillis
    mixed.copy(
        reference = Reference(
            mixed.copy(
                kinds = MIXED_KINDS,
                demand = persistentListOf(DemandStep(0, shortRatio))
            )
        ) { result -> mapOf("short_p99_without_long_ms" to result.shortLatencyMillis()) }
    )
}

private fun RunResult.shortLatencyMillis(): Double =
    latencies(measured().filter { it.request.kind.workClass == WorkClass.Short }).millisAt(99.0)

private const val CRASHING_CUSTOMER = 1
private const val CRASHING_SHARE = 1.0 / 2_000

/** One request in 2,000, all of one customer, crashes its server and is sent again. */
internal val POISON = Scenario(
    name = "poison",
    kinds = MIXED_KINDS.add(
        RequestKind(
            "crasher",
            weight = CRASHING_SHARE,
            meanMillis = STEADY.meanMillis,
            customer = CRASHING_CUSTOMER,
            crashes = true
        )
    ),
    extraFields = { result ->
        mapOf(
            "crashes_per_request_max" to (result.crashes.values.maxOrNull() ?: 0).toDouble(),
            "other_goodput_ratio" to result.otherGoodputRatio()
        )
    }
)

private fun RunResult.otherGoodputRatio(): Double {
    val others = measured().filter { it.request.kind.customer != CRASHING_CUSTOMER }
    return others.count { it.good(scenario.deadlineMillis) }.toDouble() / others.size
}
