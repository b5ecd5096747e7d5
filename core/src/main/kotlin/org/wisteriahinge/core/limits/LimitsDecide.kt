package org.wisteriahinge.core.limits

import java.time.Instant
import org.wisteriahinge.core.model.CustomerId

/** Decides on [event] at [now]. Pure: reads no clock and performs no I/O. */
public fun LimitsState.decide(event: LimitsEvent, now: Instant): LimitsDecision {
    val before = usableShares()
    return handleEvent(event, now).expireLeases(now).appendIfDue(now).announceChange(before)
}

private fun LimitsState.handleEvent(event: LimitsEvent, now: Instant): LimitsState = when (event) {
    is LimitsEvent.DemandReported -> copy(demands = event.demands)
    is LimitsEvent.BoundsRead ->
        copy(ledger = ledger.resumedAt(event.earliest, now), catchUpOffset = event.next)
    is LimitsEvent.Read -> event.batches.filter { it.offset >= ledger.nextOffset }
        .fold(this) { state, read -> state.read(read) }
    is LimitsEvent.Gap -> copy(ledger = ledger.resumedAt(event.earliest, now))
    is LimitsEvent.AppendSettled ->
        if (event.appendId == inFlight) copy(inFlight = null) else this
    LimitsEvent.Stopping -> copy(stopping = true)
    LimitsEvent.Ticked -> this
}

private fun LimitsState.read(read: ReadShares): LimitsState {
    val folded = copy(ledger = ledger.apply(read))
    val batch = read.batch?.takeIf { it.instance == instance } ?: return folded
    return batch.entries.fold(folded) { state, entry ->
        when (entry) {
            is ShareEntry.Share -> state.readOwnShare(entry.customer, batch)
            is ShareEntry.Slot, ShareEntry.FreeSlot -> state.readOwnSlot()
        }
    }
}

/** Applies the granted share, limited to what later records, not read back yet, request. */
private fun LimitsState.readOwnShare(customer: CustomerId, batch: ShareBatch): LimitsState {
    val lease = leases[customer] ?: Lease()
    val holding = ledger.shares[customer]?.get(instance) ?: return this
    if (holding.sequence != batch.sequence) return this
    val unread = lease.requestedSequence > batch.sequence
    val granted = if (unread) holding.lowerBound.atMost(lease.requested) else holding.lowerBound
    val next = lease.copy(
        usable = granted,
        until = holding.until,
        neverHeld = lease.neverHeld + holding.neverHeld
    )
    return stepLease(customer, next, LeaseTrigger.Granted)
}

private fun LimitsState.readOwnSlot(): LimitsState = copy(
    slot = ledger.slotOf(instance)?.takeIf { !stopping }?.let { HeldSlot(it.key, it.value.until) }
)

/** Steps the chart `lease` for [customer]; [lease] has the values that its effects may apply. */
internal fun LimitsState.stepLease(
    customer: CustomerId,
    lease: Lease,
    trigger: LeaseTrigger
): LimitsState {
    val before = leases[customer] ?: Lease()
    val step = leaseChart.step(before.state, trigger)
    val kept = lease.copy(state = step.state, usable = before.usable, until = before.until)
    val next = step.effects.fold(kept) { changed, action ->
        when (action) {
            LeaseAction.ApplyShare -> changed.copy(usable = lease.usable, until = lease.until)
            LeaseAction.LowerShare -> changed.copy(usable = before.usable.atMost(lease.requested))
            LeaseAction.WithdrawShare -> changed.copy(usable = ShareUnits.None)
        }
    }
    return copy(leases = leases.put(customer, next))
}

/** Ends the leases whose terms, less the clock skew, are over by this instance's clock. */
private fun LimitsState.expireLeases(now: Instant): LimitsState {
    val ended = leases.filterValues {
        it.state == LeaseState.Held && it.until.minus(settings.maxClockSkew) <= now
    }
    val withdrawn = ended.entries.fold(this) { state, (customer, lease) ->
        state.stepLease(customer, lease, LeaseTrigger.Lapsed)
    }
    val slotEnded = slot != null && slot.until.minus(settings.maxClockSkew) <= now
    return if (slotEnded) withdrawn.copy(slot = null) else withdrawn
}

private fun LimitsDecision.announceChange(before: UsableShares): LimitsDecision {
    val after = state.usableShares()
    return if (after == before) this else emit(LimitsEffect.Announce(after))
}
