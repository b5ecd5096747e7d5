package org.wisteriahinge.bench.policy

import java.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.wisteriahinge.app.RetryBudgetSettings
import org.wisteriahinge.core.routing.RoutingPolicy

/** Command that compares shares of hedges with the retry budget of `front`. */
internal const val HEDGING = "hedging"

private const val RETRY_RATIO = 0.2
private val RETRY_WINDOW: Duration = Duration.ofSeconds(10)
private const val TICK_MILLIS = 5L
private const val MANY_INSTANCES = 146

/** No hedges, a small share, and the default, which the retry budget alone limits. */
private val HEDGE_RATIOS = persistentListOf(0.0, 0.05, 1.0)

/** Lookups of 140 ms and reports of 460 ms on the same targets. */
private val DISTINCT_KINDS: PersistentList<RequestKind> = persistentListOf(
    RequestKind("lookup", weight = 0.8, meanMillis = 140.0),
    RequestKind("report", weight = 0.2, meanMillis = 460.0)
)

private val HEDGED_SCENARIOS: PersistentList<Scenario> = persistentListOf(
    SLOW_TARGET,
    SLOW_TARGET.copy(name = "slow-target-$MANY_INSTANCES", instances = MANY_INSTANCES),
    SHIFTING_LOAD,
    SHIFTING_LOAD.copy(
        name = "distinct-kinds",
        kinds = DISTINCT_KINDS,
        durationMillis = 60_000,
        deadlineMillis = 5_000
    ),
    CREST
)

/** Runs each scenario with each share of hedges; one object for each run. */
internal fun runHedging(seed: Long): List<JsonObject> = HEDGED_SCENARIOS.flatMap { scenario ->
    HEDGE_RATIOS.map { hedgingFigures(scenario.hedged(it), it, seed) }
}

internal fun Scenario.hedged(hedgeRatio: Double): Scenario = copy(
    tickMillis = TICK_MILLIS,
    retryBudget = RetryBudgetSettings(RETRY_RATIO, RETRY_WINDOW, hedgeRatio)
)

private fun hedgingFigures(scenario: Scenario, hedgeRatio: Double, seed: Long) = buildJsonObject {
    val policy = BenchPolicy.Decided("wisteriahinge", RoutingPolicy.LeastExpectedTime())
    val result = Simulation(scenario, policy, seed).run()
    val latencies = result.latencies(result.measured())
    put("scenario", scenario.name)
    put("seed", seed)
    put("hedge_ratio", hedgeRatio)
    put("p50_ms", latencies.millisAt(50.0))
    put("p99_ms", latencies.millisAt(99.0))
    put("p999_ms", latencies.millisAt(99.9))
    put("extra_ratio", result.retryRatio())
    put("goodput_ratio", result.goodputRatio())
    put("refused_ratio", result.refusedRatio())
    scenario.extraFields(result).forEach { (name, value) -> put(name, value) }
}
