package org.wisteriahinge.bench.configuration

import kotlin.random.Random
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put

/** Name of the scenario. */
internal const val CONFIG_SPREAD: String = "config-spread"

private const val PUBLICATIONS = 40
private const val PERIOD_MICROS = 6_000_000L
private const val FIRST_AT_MICROS = 5_000_000L
private const val RESTART_EVERY = 4

/**
 * Publishes 40 revisions about 6 s apart at seeded times, each raced by a second operator, with
 * an instance replaced after every fourth; the last line of output is the result.
 */
internal fun runConfigSpread(seed: Long): JsonObject {
    val random = Random(seed)
    val started = (0 until INSTANCES).fold(ConfigSpread().announceMembers()) { all, index ->
        all.schedule(random.nextLong(1_000_000), SpreadEvent.ReadStarted(index))
            .schedule(random.nextLong(1_000_000), SpreadEvent.HeartbeatDue(index))
    }
    val planned = (0 until PUBLICATIONS).fold(started) { all, number ->
        val at = FIRST_AT_MICROS + number * PERIOD_MICROS + random.nextLong(1_000_000)
        val raced = all
            .schedule(at, SpreadEvent.Published(publication("first-$number", number.toLong())))
            .schedule(
                at + random.nextLong(300_000),
                SpreadEvent.Published(publication("second-$number", number.toLong()))
            )
        if (number % RESTART_EVERY == 0) {
            val instance = random.nextInt(INSTANCES)
            raced.schedule(at + random.nextLong(2_000_000), SpreadEvent.Restarted(instance))
        } else {
            raced
        }
    }
    val ended = planned.run(FIRST_AT_MICROS + (PUBLICATIONS + 1) * PERIOD_MICROS)
    return buildJsonObject {
        put("scenario", CONFIG_SPREAD)
        put("seed", seed)
        put("instances", INSTANCES)
        put("revisions", PUBLICATIONS)
        put("max_spread_ms", ended.maxSpread().toMillis())
        put("reverted", ended.instances.sumOf { it.reverted })
        put("in_force_everywhere", ended.instances.all { it.highest == PUBLICATIONS.toLong() })
        put("snapshots", ended.log.snapshots.size)
    }
}
