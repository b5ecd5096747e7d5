package org.wisteriahinge.bench

import java.io.File
import kotlin.system.exitProcess
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import org.wisteriahinge.bench.capacity.CAPACITY
import org.wisteriahinge.bench.capacity.runCapacity
import org.wisteriahinge.bench.configuration.CONFIG_SPREAD
import org.wisteriahinge.bench.configuration.runConfigSpread
import org.wisteriahinge.bench.demo.Demo
import org.wisteriahinge.bench.endless.ENDLESS_ANSWERS
import org.wisteriahinge.bench.endless.runEndlessAnswers
import org.wisteriahinge.bench.freshness.FRESHNESS
import org.wisteriahinge.bench.freshness.runFreshness
import org.wisteriahinge.bench.fuzz.atMostOnce
import org.wisteriahinge.bench.fuzz.fuzzCommand
import org.wisteriahinge.bench.fuzz.limits
import org.wisteriahinge.bench.fuzz.logOutage
import org.wisteriahinge.bench.policy.DEEP_CALLS
import org.wisteriahinge.bench.policy.HEDGING
import org.wisteriahinge.bench.policy.POISON_FRONT
import org.wisteriahinge.bench.policy.SCENARIOS
import org.wisteriahinge.bench.policy.STRANDED
import org.wisteriahinge.bench.policy.Scenario
import org.wisteriahinge.bench.policy.TARGET_LIMITS
import org.wisteriahinge.bench.policy.runDeepCalls
import org.wisteriahinge.bench.policy.runHedging
import org.wisteriahinge.bench.policy.runPoisonFront
import org.wisteriahinge.bench.policy.runPolicies
import org.wisteriahinge.bench.policy.runStranded
import org.wisteriahinge.bench.policy.runTargetLimits
import org.wisteriahinge.bench.soak.SOAK
import org.wisteriahinge.bench.soak.SOAK_REGRESSIONS
import org.wisteriahinge.bench.soak.soakCommand
import org.wisteriahinge.bench.soak.soakRegressionsCommand
import org.wisteriahinge.bench.start.START_COST
import org.wisteriahinge.bench.start.StartCost

/** Entry point of the measurement tools: `demo` or the name of a scenario. */
public fun main(args: Array<String>) {
    val parser = ArgParser("bench")
    val name by parser.argument(ArgType.String, description = "demo or the name of a scenario")
    val seed by parser.option(ArgType.Int, "seed", description = "Seed of the run").default(1)
    val steps by parser.option(ArgType.Int, "steps", description = "Steps of a fuzz run")
        .default(20_000)
    val seconds by parser.option(
        ArgType.Int,
        "seconds",
        description = "Seconds of faults in a soak, or of each part of endless-answers"
    )
        .default(30)
    val instances by parser.option(
        ArgType.Int,
        "instances",
        description = "Instances in a soak, poison-front, stranded or freshness"
    )
        .default(4)
    val share by parser.option(
        ArgType.Double,
        "share",
        description = "Share of the instances in stranded that lose their links"
    )
        .default(0.6)
    val starts by parser.option(ArgType.Int, "starts", description = "Starts in start-cost")
        .default(5)
    val root by parser.option(
        ArgType.String,
        "root",
        description = "Checkout whose deployed program start-cost measures"
    )
        .default(".")
    parser.parse(args)
    val scenario = SCENARIOS.firstOrNull { it.name == name }
    when {
        name == "fuzz" -> if (!fuzzCommand(seed.toLong(), steps)) exitProcess(1)
        name == SOAK_REGRESSIONS -> if (!soakRegressionsCommand()) exitProcess(1)
        name == SOAK -> if (!soakCommand(seed.toLong(), seconds, instances)) exitProcess(1)
        name == "at-most-once" -> println(atMostOnce(seed.toLong()))
        name == "log-outage" -> println(logOutage(seed.toLong()))
        name == "limits" -> println(limits(seed.toLong()))
        name == "demo" -> if (!Demo().use { it.run() }) exitProcess(1)
        name == CAPACITY -> println(runCapacity(seed.toLong()))
        name == START_COST -> println(StartCost(File(root), starts).use { it.run() })
        name == "added-latency" -> println(AddedLatency(seed).use { it.run() })
        name == TARGET_LIMITS -> println(runTargetLimits(seed.toLong()))
        name == POISON_FRONT -> println(runPoisonFront(instances, seed.toLong()))
        name == HEDGING -> runHedging(seed.toLong()).forEach(::println)
        name == STRANDED -> println(runStranded(instances, share, seed.toLong()))
        name == DEEP_CALLS -> println(runDeepCalls(seed.toLong()))
        name == ENDLESS_ANSWERS -> println(runEndlessAnswers(seconds))
        name == FRESHNESS -> println(runFreshness(instances, seed.toLong()))
        name == CONFIG_SPREAD -> println(runConfigSpread(seed.toLong()))
        scenario != null -> printRun(scenario, seed.toLong())
        else -> refuse(name)
    }
    exitProcess(0)
}

private fun printRun(scenario: Scenario, seed: Long) {
    println(runPolicies(scenario, seed))
}

private fun refuse(name: String): Nothing {
    val others =
        listOf(
            DEEP_CALLS,
            HEDGING,
            POISON_FRONT,
            STRANDED,
            TARGET_LIMITS,
            CONFIG_SPREAD,
            FRESHNESS,
            ENDLESS_ANSWERS,
            CAPACITY,
            START_COST
        )
    val known = (SCENARIOS.map { it.name } + others).joinToString()
    System.err.println("unknown scenario $name; expected demo or one of: $known")
    exitProcess(2)
}
