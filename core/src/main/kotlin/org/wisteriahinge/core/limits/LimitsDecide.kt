package org.wisteriahinge.core.limits

import java.time.Instant
import org.wisteriahinge.core.model.CustomerId

/** Decides on [event] at [now]. Pure: reads no clock and performs no I/O. */
public fun LimitsState.decide(event: LimitsEvent, now: Instant): LimitsDecision {
    val before = usableShares()
    return step(event, now).lapse(now).appendIfDue(now).announceChange(before)
}

private fun LimitsState.step(event: LimitsEvent, now: Instant): LimitsState = when (event) {
    is LimitsEvent.Demanded -> copy(demands = event.demands)
    is LimitsEvent.Bounded ->
        copy(ledger = ledger.retainedFrom(event.earliest, now), caughtUpAt = event.next)
    is LimitsEvent.Read -> event.batches.filter { it.offset >= ledger.nextOffset }
        .fold(this) { state, read -> state.read(read) }
    is LimitsEvent.Gap -> copy(ledger = ledger.retainedFrom(event.earliest, now))
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

/** The share that the log granted, lowered by what was given up in records not read back yet. */
private fun LimitsState.readOwnShare(customer: CustomerId, batch: ShareBatch): LimitsState {
    val lease = leases[customer] ?: Lease()
    val holding = ledger.shares[customer]?.get(instance) ?: return this
    if (holding.sequence != batch.sequence) return this
    val unread = lease.askedSequence > batch.sequence
    val granted = if (unread) holding.least.atMost(lease.asked) else holding.least
    val next = lease.copy(usable = granted, until = holding.until)
    return step(customer, next, LeaseTrigger.Granted)
}

private fun LimitsState.readOwnSlot(): LimitsState = copy(
    slot = ledger.slotOf(instance)?.takeIf { !stopping }?.let { HeldSlot(it.key, it.value.until) }
)

/** Interprets [trigger] in the chart `lease` for [lease], which carries the event's figures. */
internal fun LimitsState.step(
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
            LeaseAction.LowerShare -> changed.copy(usable = before.usable.atMost(lease.asked))
            LeaseAction.WithdrawShare -> changed.copy(usable = Grants.None)
        }
    }
    return copy(leases = leases.put(customer, next))
}

/** Ends the terms that are over by this instance's clock. */
private fun LimitsState.lapse(now: Instant): LimitsState {
    val ended = leases.filterValues {
        it.state == LeaseState.Held && it.until.minus(settings.skewBound) <= now
    }
    val withdrawn = ended.entries.fold(this) { state, (customer, lease) ->
        state.step(customer, lease, LeaseTrigger.Lapsed)
    }
    val slotEnded = slot != null && slot.until.minus(settings.skewBound) <= now
    return if (slotEnded) withdrawn.copy(slot = null) else withdrawn
}

private fun LimitsDecision.announceChange(before: UsableShares): LimitsDecision {
    val after = state.usableShares()
    return if (after == before) this else emit(LimitsEffect.Announce(after))
}
