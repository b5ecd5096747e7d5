package org.wisteriahinge.core.call

import java.time.Duration
import java.time.Instant
import org.wisteriahinge.core.limits.LimitScope

/** Tick period with peers. Probes, demand and reports to peers have their own, longer periods. */
private val PEER_TICK_PERIOD: Duration = Duration.ofMillis(250)

/** Tick period while calls are queued: a fifth of the longest wait in a queue. */
private val QUEUE_TICK_PERIOD: Duration = Duration.ofMillis(50)

/** Tick period without peers and queued calls, when only expired records need removal. */
private val IDLE_TICK_PERIOD: Duration = Duration.ofSeconds(5)

/** When the next [CallEvent.Ticked] is due after the one at [tickedAt]. */
public fun CallsState.tickDueAt(tickedAt: Instant): Instant = listOfNotNull(
    tickedAt + tickPeriod(),
    nextHedgeAt(),
    surveys.earliestExpiry,
    held.earliestExpiry,
    quotas.earliestExpiry,
    quarantine.nextCheckAt
).min()

private fun CallsState.tickPeriod(): Duration = when {
    admission.queued.isNotEmpty() -> QUEUE_TICK_PERIOD
    hasPeers() -> PEER_TICK_PERIOD
    else -> IDLE_TICK_PERIOD
}

private fun CallsState.hasPeers(): Boolean = when (limits.scope) {
    is LimitScope.Leased -> true
    is LimitScope.WholePlan -> routing.probePlan.assigned.isNotEmpty()
}
