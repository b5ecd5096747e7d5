package org.wisteriahinge.bench.policy

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject

/** Runs every policy on [scenario] and returns the object that the design page describes. */
internal fun runPolicies(scenario: Scenario, seed: Long): JsonObject = buildJsonObject {
    put("scenario", scenario.name)
    put("seed", seed)
    putJsonObject("policies") {
        POLICIES.forEach { policy ->
            put(policy.name, figures(scenario, policy, seed))
        }
    }
}

private fun figures(scenario: Scenario, policy: BenchPolicy, seed: Long) = buildJsonObject {
    val result = Simulation(scenario, policy, seed).run()
    val latencies = result.latencies(result.measured())
    put("p50_ms", latencies.millisAt(50.0))
    put("p99_ms", latencies.millisAt(99.0))
    put("p999_ms", latencies.millisAt(99.9))
    put("goodput_ratio", result.goodputRatio())
    put("refused_ratio", result.refusedRatio())
    put("probe_load_ratio", result.probeLoadRatio())
    put("retry_ratio", result.retryRatio())
    scenario.extraFields(result).forEach { (name, value) -> put(name, value) }
    scenario.reference?.let { reference ->
        val compared = Simulation(reference.scenario, policy, seed).run()
        reference.fields(compared).forEach { (name, value) -> put(name, value) }
    }
}
