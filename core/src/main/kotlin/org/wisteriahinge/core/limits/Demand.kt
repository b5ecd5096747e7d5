package org.wisteriahinge.core.limits

import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.wisteriahinge.core.model.Allowance
import org.wisteriahinge.core.model.CustomerId

private const val MILLIS_PER_SECOND = 1_000.0

/** Factor on the present usage, so that a share is raised before it is used up. */
private const val HEADROOM_FACTOR = 1.25

/** Factor on the counts at each report, so that a short pause does not end a share. */
private const val DEMAND_DECAY = 0.5

/** Time between reports of demand; shares follow the demand within about a second. */
internal val DEMAND_REPORT_INTERVAL: Duration = Duration.ofMillis(250)

/** Largest number of idle customers that get a baseline; limits the size of the records. */
private const val MAX_IDLE_CUSTOMERS = 256

/**
 * The parts of a customer's allowance that this instance could use.
 *
 * @property needed the parts for the present usage, with headroom.
 * @property baseline the parts that admit the first calls after a pause. They are requested only
 * while no other instance has unmet demand.
 */
public data class Demand(val needed: ShareUnits, val baseline: ShareUnits) {
    public companion object {
        public val None: Demand = Demand(ShareUnits.None, ShareUnits.None)
    }
}

/** The demand of each customer, and these limits with the usage counters decayed. */
internal fun CallLimits.demands(
    allowances: Map<CustomerId, Allowance>,
    now: Instant
): Pair<CallLimits, PersistentMap<CustomerId, Demand>> {
    val seconds = Duration.between(reportedAt, now).toMillis() / MILLIS_PER_SECOND
    val idle = (allowances.keys - usage.keys).sortedBy { it.value }.take(MAX_IDLE_CUSTOMERS)
    val demands = (usage.keys + idle).fold(persistentHashMapOf<CustomerId, Demand>()) { all, id ->
        val allowance = allowances[id]
        val needed = allowance?.let { usage[id]?.demand(it, seconds) } ?: ShareUnits.None
        if (allowance == null) all else all.put(id, Demand(needed, baseline()))
    }
    val aged = usage.entries.fold(persistentHashMapOf<CustomerId, CustomerUsage>()) { all, next ->
        all.put(next.key, next.value.decayed())
    }
    return copy(usage = aged, reportedAt = now) to demands
}

/**
 * An equal part of the leased allowance for each live instance.
 *
 * Buckets are refilled only in proportion to the share that is held. With a small baseline, the
 * first calls after a pause would be refused although no other instance uses the allowance.
 */
private fun CallLimits.baseline(): ShareUnits {
    val units = LEASED_UNITS / maxOf(liveInstances, 1)
    return ShareUnits(units, units, units)
}

private fun CustomerUsage.decayed() = copy(
    requestedCalls = (requestedCalls * DEMAND_DECAY).toInt(),
    requestedBytes = (requestedBytes * DEMAND_DECAY).toLong(),
    peakConcurrency = maxOf(inProgress, (peakConcurrency * DEMAND_DECAY).toInt())
)

private fun CustomerUsage.demand(allowance: Allowance, seconds: Double): ShareUnits {
    // With constant traffic, decayed counters converge to the sum over 1 / (1 - DEMAND_DECAY)
    // intervals.
    val span =
        maxOf(seconds, DEMAND_REPORT_INTERVAL.toMillis() / MILLIS_PER_SECOND) / (1 - DEMAND_DECAY)
    return ShareUnits(
        calls = units(requestedCalls / span, allowance.callsPerSecond),
        concurrency = units(peakConcurrency.toDouble(), allowance.concurrentCalls.toDouble()),
        bytes = units(requestedBytes / span, allowance.bytesPerSecond.toDouble())
    )
}

private fun units(used: Double, allowed: Double): Int = if (used <= 0) {
    0
} else {
    Math.ceil(used * HEADROOM_FACTOR / allowed * ALL_UNITS).toInt().coerceAtMost(ALL_UNITS)
}
