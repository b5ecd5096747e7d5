package org.wisteriahinge.bench.fuzz

import kotlin.random.Random

private const val INSTANCES = 3
private const val STEPS_PER_RUN = 400
private const val SHOWN_STEPS = 40

/** Outcome of one run. */
internal data class FuzzOutcome(val seed: Long, val steps: List<FuzzAction>, val world: World) {
    val failed: Boolean get() = world.oracle.violations.isNotEmpty()
}

/** Random steps from [seed] until [maxSteps] or the first violation. */
internal fun fuzz(seed: Long, maxSteps: Int): FuzzOutcome {
    val random = Random(seed)
    val planned = generateSequence { nextAction(random) }.take(maxSteps).toList()
    return replay(seed, planned)
}

/** Performs [steps] and stops at the first violation. */
internal fun replay(seed: Long, steps: List<FuzzAction>): FuzzOutcome {
    val worlds = steps.asSequence().runningFold(newWorld(seed, INSTANCES)) { world, step ->
        world.perform(step)
    }.withIndex()
    val last = worlds.first { (index, world) ->
        index == steps.size || world.oracle.violations.isNotEmpty()
    }
    return FuzzOutcome(seed, steps.take(last.index), last.value)
}

private fun nextAction(random: Random): FuzzAction {
    val all = FuzzKind.all
    val weights = all.runningFold(0) { sum, kind -> sum + kind.weight }.drop(1)
    val at = random.nextInt(weights.last())
    return FuzzAction(all[weights.indexOfFirst { at < it }], random.nextInt())
}

/** Runs of [STEPS_PER_RUN] steps from [seed] on until [steps]; prints what to replay. */
internal fun fuzzCommand(seed: Long, steps: Int): Boolean {
    val runs = (steps + STEPS_PER_RUN - 1) / STEPS_PER_RUN
    println("fuzz: seed $seed, $runs runs of $STEPS_PER_RUN steps")
    val outcomes = (0 until runs).asSequence().map { fuzz(seed + it, STEPS_PER_RUN) }
    val totals = outcomes.fold(FuzzTotals()) { totals, outcome ->
        if (outcome.failed) {
            report(outcome)
            return false
        }
        totals.add(outcome)
    }
    println("fuzz: no violation; $totals")
    return true
}

private data class FuzzTotals(
    val copies: Int = 0,
    val ran: Int = 0,
    val answers: Int = 0,
    val refusals: Map<String, Int> = emptyMap()
) {
    fun add(outcome: FuzzOutcome): FuzzTotals {
        val oracle = outcome.world.oracle
        val refused = oracle.told.values.filterIsInstance<Told.Refused>()
            .groupingBy { it.refusal.reason.wireName }.eachCount()
        return FuzzTotals(
            copies + oracle.requests.size,
            ran + oracle.ranCopies.size,
            answers + oracle.told.values.count { it is Told.Answer },
            (refusals.keys + refused.keys).associateWith {
                (refusals[it] ?: 0) + (refused[it] ?: 0)
            }
        )
    }
}

private fun report(outcome: FuzzOutcome) {
    println("fuzz: VIOLATION with seed ${outcome.seed} after ${outcome.steps.size} steps")
    outcome.world.oracle.violations.forEach { println("  $it") }
    println("last steps: ${outcome.steps.takeLast(SHOWN_STEPS).joinToString(" ")}")
    println("replay: bin/fuzz --seed ${outcome.seed} --steps ${outcome.steps.size}")
}
