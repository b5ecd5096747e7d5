package org.wisteriahinge.bench.policy

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject
import org.wisteriahinge.core.routing.RoutingPolicy
import org.wisteriahinge.core.survey.SurveyPolicy

/** Command that compares ways to share the rate limits of targets. */
internal const val TARGET_LIMITS = "target-limits"

private const val TARGETS = 17
private const val LIMITED_TARGETS = 12
private const val SLOTS = 3
private const val MEAN_MILLIS = 76.0
private const val REQUESTS_PER_SECOND = 110.0

/** A limit is half of the requests that the target gets without one. */
private const val LIMIT_PER_SECOND = REQUESTS_PER_SECOND / TARGETS / 2

private const val LIMITED_FROM_MILLIS = 3_000L
private const val LEASED_FROM_MILLIS = 4_000L
private const val MOVED_MILLIS = 12_000L
private const val END_MILLIS = 20_000L

/** Time after a limit was first named from which it must hold. */
private const val REACTION_MILLIS = 3_000L
private const val WINDOW_MILLIS = 4_000L
private const val TOLERANCE_RATIO = 1.5
private const val TOLERANCE_REQUESTS = 5

private val INSTANCES = persistentListOf(17, 153, 300)
private val SHARINGS = persistentListOf(
    LimitSharing.Ignored,
    LimitSharing.Equal,
    LimitSharing.Leased(LEASED_FROM_MILLIS, MOVED_MILLIS)
)

/** Most of a service's targets name a limit of half of what they got. */
internal fun targetLimits(instances: Int, sharing: LimitSharing) = Scenario(
    name = TARGET_LIMITS,
    instances = instances,
    targets = TARGETS,
    zones = 3,
    slots = SLOTS,
    durationMillis = END_MILLIS,
    warmupMillis = LIMITED_FROM_MILLIS,
    kinds = persistentListOf(RequestKind("lookup", weight = 1.0, meanMillis = MEAN_MILLIS)),
    demand = persistentListOf(
        DemandStep(0, REQUESTS_PER_SECOND * MEAN_MILLIS / (TARGETS * SLOTS * 1_000))
    ),
    changes = (0 until LIMITED_TARGETS)
        .map { TimedChange(LIMITED_FROM_MILLIS, it, TargetChange.Limit(LIMIT_PER_SECOND)) }
        .toPersistentList(),
    survey = SurveyPolicy.BeforeEach(),
    limitSharing = sharing
)

/** Runs each way to share limits with each number of instances. */
internal fun runTargetLimits(seed: Long): JsonObject = buildJsonObject {
    put("scenario", TARGET_LIMITS)
    put("seed", seed)
    INSTANCES.forEach { instances ->
        putJsonObject("instances_$instances") {
            SHARINGS.forEach { put(it.name, figures(targetLimits(instances, it), seed)) }
        }
    }
}

private fun figures(scenario: Scenario, seed: Long) = buildJsonObject {
    val policy = BenchPolicy.Decided("wisteriahinge", RoutingPolicy.LeastExpectedTime())
    val result = Simulation(scenario, policy, seed).run()
    val latencies = result.latencies(result.measured())
    put("requests_over_allowed_max", result.requestsOverAllowed())
    put("limit_used_ratio", result.limitUsedRatio())
    put("goodput_ratio", result.goodputRatio())
    put("refused_ratio", result.refusedRatio())
    put("p50_ms", latencies.millisAt(50.0))
    put("p99_ms", latencies.millisAt(99.0))
}

/** The most requests that a target with a limit got in a window over what it may get in one. */
internal fun RunResult.requestsOverAllowed(): Double {
    val from = (LIMITED_FROM_MILLIS + REACTION_MILLIS) * MICROS_PER_MILLI
    val most = limitedArrivals.filter { it.atMicros >= from }.groupBy { it.target }.values
        .maxOfOrNull { mostInWindow(it) } ?: 0
    val allowed = TOLERANCE_RATIO * LIMIT_PER_SECOND * WINDOW_MILLIS / 1_000 + TOLERANCE_REQUESTS
    return most / allowed
}

private fun mostInWindow(arrivals: List<LimitedArrival>): Int = arrivals.maxOf { first ->
    val window = first.atMicros..<first.atMicros + WINDOW_MILLIS * MICROS_PER_MILLI
    arrivals.count { it.atMicros in window }
}

/** Requests that the targets with limits got over what their limits allow in the same time. */
internal fun RunResult.limitUsedRatio(): Double {
    val from = (LIMITED_FROM_MILLIS + REACTION_MILLIS) * MICROS_PER_MILLI
    val seconds = (END_MILLIS * MICROS_PER_MILLI - from) / MICROS_PER_SECOND.toDouble()
    val got = limitedArrivals.count {
        it.atMicros >= from && it.atMicros < END_MILLIS * MICROS_PER_MILLI
    }
    return got / (LIMITED_TARGETS * LIMIT_PER_SECOND * seconds)
}
