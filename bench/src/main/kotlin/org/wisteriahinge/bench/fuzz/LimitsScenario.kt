package org.wisteriahinge.bench.fuzz

import java.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import org.wisteriahinge.core.model.Allowance

private const val RATE = 40.0
private const val BURST = 40
private const val OFFERED_PER_SECOND = 100
private const val PHASE_SECONDS = 8
private const val MEASURED_SECONDS = 5
private const val PHASES = 4
private const val NANOS_PER_SECOND = 1e9
private const val INSTANCES = 18

/** Result of `limits`. */
@Serializable
internal data class LimitsResult(
    val scenario: String,
    val seed: Long,
    @SerialName("plan_ratio_max") val planRatioMax: Double,
    @SerialName("usable_ratio_skewed") val usableRatioSkewed: Double,
    @SerialName("appends_per_s") val appendsPerSecond: Double
)

/**
 * Demand of 2.5 times the plan that is at one instance for some seconds and then moves on.
 *
 * The usable part is the rate in the last seconds of each phase over the plan's rate; the least
 * counts.
 */
internal fun limits(seed: Long): String {
    val plan = Allowance(RATE, BURST, 400, 10_000_000, 10_000_000)
    val started = benchWorld(seed, plan)
    val phases = (0 until PHASES).runningFold(started) { world, phase ->
        val hot = ((seed + phase) % INSTANCES).toInt()
        load(world, PHASE_SECONDS, Load(OFFERED_PER_SECOND, { true }, { hot }))
    }
    val end = phases.last()
    val admitted = end.oracle.admissions[customerIds.first()]!!
    val usable = phases.drop(1).minOf { world ->
        val from = world.time.minusSeconds(MEASURED_SECONDS.toLong())
        admitted.count { it.at >= from && it.at < world.time } / (RATE * MEASURED_SECONDS)
    }
    val seconds = (PHASES * PHASE_SECONDS).toDouble()
    return Json.encodeToString(
        LimitsResult(
            scenario = "limits",
            seed = seed,
            planRatioMax = planRatioMax(admitted),
            usableRatioSkewed = usable,
            appendsPerSecond = (end.shares.next - started.shares.next) / seconds
        )
    )
}

/** The most that any window admitted, over the burst and the rate for its length. */
private fun planRatioMax(admitted: PersistentList<Admission>): Double =
    admitted.indices.maxOf { last ->
        (0..last).maxOf { first ->
            val span = Duration.between(admitted[first].at, admitted[last].at).toNanos()
            (last - first + 1) / (BURST + RATE * span / NANOS_PER_SECOND)
        }
    }
