package org.wisteriahinge.core.limits

import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.wisteriahinge.core.model.Allowance
import org.wisteriahinge.core.model.CustomerId

private const val MILLIS_PER_SECOND = 1_000.0

/** Room above the present use, so that a share is raised before it is used up. */
private const val HEADROOM_FACTOR = 1.25

/** Share of a former demand that is kept from one report to the next, so that pauses are short. */
private const val DEMAND_DECAY = 0.5

/** How often the demand is reported; shares follow it within about a second. */
internal val DEMAND_REPORT_INTERVAL: Duration = Duration.ofMillis(250)

/** Customers without recent calls for which a baseline is held; bounds the records' size. */
private const val MAX_IDLE_CUSTOMERS = 256

/**
 * What a customer could use of its allowance at this instance, in thousandths.
 *
 * [baseline] admits a first call after a pause. It is held only while nobody lacks anything.
 */
public data class Demand(val needed: ShareUnits, val baseline: ShareUnits) {
    public companion object {
        public val None: Demand = Demand(ShareUnits.None, ShareUnits.None)
    }
}

/** What each customer could use of its allowance, in thousandths, and the use counted anew. */
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
 * An equal part for each live instance.
 *
 * Buckets fill only at the share that is held, so a small baseline would refuse the first calls
 * after a pause although nobody else uses the allowance.
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
    // Counts decay by KEPT each period, so their steady sum is that of 1 / (1 - KEPT) periods.
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
