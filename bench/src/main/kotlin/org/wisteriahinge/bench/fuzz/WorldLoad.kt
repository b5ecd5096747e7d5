package org.wisteriahinge.bench.fuzz

import com.github.f4b6a3.uuid.UuidCreator
import java.time.Duration
import org.wisteriahinge.core.limits.LimitsSettings
import org.wisteriahinge.core.model.Allowance
import org.wisteriahinge.core.model.Execution
import org.wisteriahinge.core.model.IdempotencyKey
import org.wisteriahinge.core.once.OnceEvent

private const val INSTANCES = 18
private const val NANOS_PER_SECOND = 1_000_000_000L
private const val NANOS_PER_MILLI = 1e6
private val TIMEOUT: Duration = Duration.ofSeconds(5)
private val SETTLE: Duration = Duration.ofSeconds(10)

/** A plan whose static part carries the load of these measurements during an outage. */
private val ampleAllowance = Allowance(10_000.0, 10_000, 10_000, 10_000_000, 10_000_000)

/** Requests a second, and which of them are sent where. */
internal data class Load(
    val perSecond: Int,
    val isRepeatable: (number: Long) -> Boolean,
    val nodeOf: (number: Long) -> Int
)

/** Half repeatable and half at-most-once work, in turn over all instances. */
internal val mixedLoad = Load(
    perSecond = 40,
    isRepeatable = { it % 2 == 0L },
    nodeOf = { (it / 2 % INSTANCES).toInt() }
)

/** 18 instances that know of each other and share the log's append budget. */
internal fun benchWorld(seed: Long, allowance: Allowance = ampleAllowance): World {
    val world = newWorld(seed, INSTANCES, WorldProfile(allowance, LimitsSettings()))
    return world.nodes.keys.fold(world) { all, id ->
        all.schedule(Duration.ZERO, Delivery.Once(id, OnceEvent.LiveInstances(INSTANCES)))
    }.advance(SETTLE)
}

/** Sends [load] for [seconds], evenly spaced. */
internal fun load(world: World, seconds: Int, load: Load): World {
    val gap = Duration.ofNanos(NANOS_PER_SECOND / load.perSecond)
    return (0L until seconds.toLong() * load.perSecond).fold(world) { current, number ->
        val nodes = current.nodes.values.sortedBy { it.id.value }
        val request = CallerRequest(
            IdempotencyKey(UuidCreator.getTimeOrderedEpoch(current.time).toString()),
            customerIds.first(),
            "request ${current.lastCall}",
            load.isRepeatable(number)
        )
        current.send(nodes[load.nodeOf(number)], request, TIMEOUT).advance(gap)
    }
}

/** How long at-most-once calls waited before they were sent, in order, in milliseconds. */
internal fun Oracle.claimWaitsMillis(): List<Double> = waits
    .filterKeys { !requests.getValue(it).isRepeatable }
    .values.map { it.toNanos() / NANOS_PER_MILLI }.sorted()

/** Copies that were told not run and ran. */
internal fun Oracle.falseNotRunCount(): Int = told.count { (copy, what) ->
    what is Told.Refused && what.refusal.execution == Execution.NotRun && copy in ranCopies
}

/** The value below which the part [quantile] of a sorted list lies. */
internal fun List<Double>.at(quantile: Double): Double =
    if (isEmpty()) 0.0 else this[((size - 1) * quantile).toInt()]
