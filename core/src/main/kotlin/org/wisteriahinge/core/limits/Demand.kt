package org.wisteriahinge.core.limits

import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.wisteriahinge.core.model.Allowance
import org.wisteriahinge.core.model.CustomerId

private const val MILLIS_PER_SECOND = 1_000.0

/** Room above the present use, so that a share is raised before it is used up. */
private const val HEADROOM = 1.25

/** Share of a former demand that is kept from one report to the next, so that pauses are short. */
private const val KEPT = 0.5

/** How often the demand is reported; shares follow it within about a second. */
internal val DEMAND_PERIOD: Duration = Duration.ofMillis(250)

/** Customers without recent calls for which a baseline is held; bounds the records' size. */
private const val MAX_IDLE_CUSTOMERS = 256

/**
 * What a customer could use of its allowance at this instance, in thousandths.
 *
 * [baseline] admits a first call after a pause. It is held only while nobody lacks anything.
 */
public data class Demand(val needed: Grants, val baseline: Grants) {
    public companion object {
        public val None: Demand = Demand(Grants.None, Grants.None)
    }
}

/** What each customer could use of its allowance, in thousandths, and the use counted anew. */
internal fun CallLimits.demands(
    allowances: Map<CustomerId, Allowance>,
    now: Instant
): Pair<CallLimits, PersistentMap<CustomerId, Demand>> {
    val seconds = Duration.between(reportedAt, now).toMillis() / MILLIS_PER_SECOND
    val idle = (allowances.keys - use.keys).sortedBy { it.value }.take(MAX_IDLE_CUSTOMERS)
    val demands = (use.keys + idle).fold(persistentHashMapOf<CustomerId, Demand>()) { all, id ->
        val allowance = allowances[id]
        val needed = allowance?.let { use[id]?.demand(it, seconds) } ?: Grants.None
        if (allowance == null) all else all.put(id, Demand(needed, baseline()))
    }
    val counted = use.entries.fold(persistentHashMapOf<CustomerId, CustomerUse>()) { all, entry ->
        all.put(entry.key, entry.value.countedAnew())
    }
    return copy(use = counted, reportedAt = now) to demands
}

/**
 * An equal part for each live instance.
 *
 * Buckets fill only at the share that is held, so a small baseline would refuse the first calls
 * after a pause although nobody else uses the allowance.
 */
private fun CallLimits.baseline(): Grants {
    val units = LEASED_UNITS / maxOf(liveInstances, 1)
    return Grants(units, units, units)
}

private fun CustomerUse.countedAnew() = copy(
    askedCalls = (askedCalls * KEPT).toInt(),
    askedBytes = (askedBytes * KEPT).toLong(),
    mostAskedAtOnce = maxOf(inProgress, (mostAskedAtOnce * KEPT).toInt())
)

private fun CustomerUse.demand(allowance: Allowance, seconds: Double): Grants {
    // Counts decay by KEPT each period, so their steady sum is that of 1 / (1 - KEPT) periods.
    val span = maxOf(seconds, DEMAND_PERIOD.toMillis() / MILLIS_PER_SECOND) / (1 - KEPT)
    return Grants(
        calls = units(askedCalls / span, allowance.callsPerSecond),
        concurrency = units(mostAskedAtOnce.toDouble(), allowance.concurrentCalls.toDouble()),
        bytes = units(askedBytes / span, allowance.bytesPerSecond.toDouble())
    )
}

private fun units(used: Double, allowed: Double): Int = if (used <= 0) {
    0
} else {
    Math.ceil(used * HEADROOM / allowed * ALL_UNITS).toInt().coerceAtMost(ALL_UNITS)
}
