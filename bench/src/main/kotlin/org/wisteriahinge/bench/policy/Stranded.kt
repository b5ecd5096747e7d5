package org.wisteriahinge.bench.policy

import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject
import org.wisteriahinge.core.model.Repeatability
import org.wisteriahinge.core.routing.RoutingPolicy
import org.wisteriahinge.core.survey.SurveyPolicy

/** Command that measures instances that lose their links to all targets. */
internal const val STRANDED = "stranded"

private const val TARGETS = 17
private const val SLOTS = 3
private const val MEAN_MILLIS = 76.0
private const val REQUESTS_PER_SECOND = 110.0
private const val UNSAFE_SHARE = 0.4
private const val CUT_MILLIS = 4_000L
private const val HEALED_MILLIS = 16_000L
private const val END_MILLIS = 20_000L
private const val TIME_TO_ANSWER_MILLIS = 2_000L

/** Time after the cut from which callers of the instances concerned must be served. */
private const val REACTION_MILLIS = 3_000L

/** Some instances reach no target for twelve seconds. */
internal fun stranded(instances: Int, share: Double, link: CutLink, calls: StrandedCalls) =
    Scenario(
        name = STRANDED,
        instances = instances,
        targets = TARGETS,
        zones = 3,
        slots = SLOTS,
        durationMillis = END_MILLIS,
        warmupMillis = CUT_MILLIS + REACTION_MILLIS,
        kinds = persistentListOf(
            RequestKind("lookup", 1 - UNSAFE_SHARE, MEAN_MILLIS),
            RequestKind(
                "submission",
                UNSAFE_SHARE,
                MEAN_MILLIS,
                repeatability = Repeatability.OncePerRequest
            )
        ),
        demand = persistentListOf(
            DemandStep(0, REQUESTS_PER_SECOND * MEAN_MILLIS / (TARGETS * SLOTS * 1_000))
        ),
        deadlineMillis = TIME_TO_ANSWER_MILLIS,
        survey = SurveyPolicy.BeforeEach(),
        callers = SimCallers.Open(CrashSharing.Uncounted),
        stranding = Stranding(share, link, calls, CUT_MILLIS, HEALED_MILLIS)
    )

/** Runs silent and refusing links, and beside each instances that hand nothing over. */
internal fun runStranded(instances: Int, share: Double, seed: Long): JsonObject = buildJsonObject {
    put("scenario", STRANDED)
    put("seed", seed)
    put("instances", instances)
    put("share", share)
    putFigures(stranded(instances, share, CutLink.Silent, StrandedCalls.HandedOver), seed)
    listOf(CutLink.Silent, CutLink.Refusing).forEach { link ->
        listOf(StrandedCalls.HandedOver, StrandedCalls.Refused).forEach { calls ->
            putJsonObject("${link.name}_${calls.name}") {
                putFigures(stranded(instances, share, link, calls), seed)
            }
        }
    }
}

private fun JsonObjectBuilder.putFigures(scenario: Scenario, seed: Long) {
    val policy = BenchPolicy.Decided("wisteriahinge", RoutingPolicy.LeastExpectedTime())
    val result = Simulation(scenario, policy, seed).run()
    put("served_ratio_stranded", result.servedDuringCut { scenario.isEverStranded(it) })
    put("served_ratio_others", result.servedDuringCut { !scenario.isEverStranded(it) })
    put("doubled", result.doubled())
    put("goodput", result.goodputRatio())
    put("p99_ms", result.latencies(result.measured()).millisAt(99.0))
}

/** Share of the first tries during the cut that were answered well; null without any. */
internal fun RunResult.servedDuringCut(among: (Int) -> Boolean): Double? {
    val from = (CUT_MILLIS + REACTION_MILLIS) * MICROS_PER_MILLI
    val sent = outcomes.filter {
        among(it.request.instance) && it.request.atMicros in from..<HEALED_MILLIS * MICROS_PER_MILLI
    }
    if (sent.isEmpty()) return null
    return sent.count { it.good(scenario.deadlineMillis) }.toDouble() / sent.size
}

/** Requests that may not be repeated and ran more than once. */
internal fun RunResult.doubled(): Int = runs.values.count { it.size > 1 }
