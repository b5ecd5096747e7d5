package org.wisteriahinge.core.scarcity

import java.time.Instant
import org.wisteriahinge.core.call.CallInProgress
import org.wisteriahinge.core.call.CallsState
import org.wisteriahinge.core.call.isLeastUrgent
import org.wisteriahinge.core.call.urgencyStep

/** Utilization of its slots up to which a target works at its usual pace. */
private const val USUAL_PACE_UTILIZATION = 0.8

/** Targets with fewer slots would work far below their capacity at [USUAL_PACE_UTILIZATION]. */
private const val MIN_SLOTS_FOR_USUAL_PACE = 3

/** Further targets that need room for a customer that sends far more than usual. */
private const val EXCESS_TARGETS = 3

/** Further targets that need room for a request that comes back too early. */
private const val EARLY_TARGETS = 1

/**
 * The room that a call needs among the targets that its survey covers: [targets] of them must have
 * a free slot. A target has one for calls that [useLastSlots] while any slot is free, for others
 * only while it would still work at its usual pace.
 */
internal data class RoomNeed(val targets: Int, val useLastSlots: Boolean) {
    /** Whether a target with [slots] has room when it has [busy] requests. */
    fun hasRoom(busy: Int, slots: Int): Boolean = when {
        busy == 0 -> true
        useLastSlots || slots < MIN_SLOTS_FOR_USUAL_PACE -> busy < slots
        else -> busy + 1 <= slots * USUAL_PACE_UTILIZATION
    }
}

/** Whether a target with [busy] requests works at its usual pace with one more. */
internal fun isBelowUsualPaceLimit(busy: Int, slots: Int): Boolean =
    busy == 0 || busy + 1 <= slots * USUAL_PACE_UTILIZATION

/**
 * The room that [call] needs. While the service is short of room, a more urgent call never needs
 * more than a less urgent one of the same customer, and room for it remains when less urgent ones
 * get none.
 */
internal fun CallsState.roomNeed(call: CallInProgress, now: Instant): RoomNeed {
    val scarcity = scarcity.of(call.matched.service.id)
    if (!scarcity.shortage.isShort(now)) return RoomNeed(targets = 1, useLastSlots = true)
    val step = urgencyStep(call)
    val excess = if (scarcity.isAboveShare(call)) EXCESS_TARGETS else 0
    val early = if (scarcity.refusals.isEarly(call.request, now)) EARLY_TARGETS else 0
    val useLastSlots = step == 0 && !isLeastUrgent(call) && excess + early == 0
    return RoomNeed(1 + (step - 1).coerceAtLeast(0) + excess + early, useLastSlots)
}

/** Whether the customer of [call] sends far more than usual. */
internal fun ServiceScarcity.isAboveShare(call: CallInProgress): Boolean =
    call.caller.keyed?.let { customers.isAboveShare(it.id) } == true
