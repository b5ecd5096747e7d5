package org.wisteriahinge.core.call

import java.time.Duration
import java.time.Instant
import org.wisteriahinge.core.limits.LimitScope

/** Period of work for peers: probes, demand, news and reports keep their own longer times. */
private val PEER_PERIOD: Duration = Duration.ofMillis(250)

/** Period at which waiting calls are looked at; a fifth of the longest wait in a queue. */
private val QUEUE_PERIOD: Duration = Duration.ofMillis(50)

/** Without peers and waiting calls, only expired records are left to look at. */
private val IDLE_PERIOD: Duration = Duration.ofSeconds(5)

/** When [CallEvent.Ticked] is due after the one at [tickedAt]. */
public fun CallsState.nextDueAt(tickedAt: Instant): Instant =
    listOfNotNull(tickedAt + periodOfWork(), nextHedgeAt(), surveys.firstDue, held.firstDue).min()

private fun CallsState.periodOfWork(): Duration = when {
    admission.queued.isNotEmpty() -> QUEUE_PERIOD
    hasPeers() -> PEER_PERIOD
    else -> IDLE_PERIOD
}

private fun CallsState.hasPeers(): Boolean = when (limits.scope) {
    is LimitScope.Leased -> true
    is LimitScope.WholePlan -> routing.probePlan.assigned.isNotEmpty()
}
