package org.wisteriahinge.core.limits

import java.time.Duration
import java.time.Instant
import kotlin.random.Random
import kotlinx.collections.immutable.toPersistentList
import org.wisteriahinge.core.model.CustomerId

/** How long a requested static slot may stay unconfirmed before another one is requested. */
private val SLOT_RETRY_INTERVAL: Duration = Duration.ofSeconds(1)

/** Smallest change of a requested share, in thousandths, that is worth a record. */
private const val MIN_CHANGE_UNITS = 20

/** Appends requests for changed shares, renewals before the term ends, and returned shares. */
internal fun LimitsState.appendIfDue(now: Instant): LimitsDecision {
    val mayAppend =
        isCaughtUp && inFlight == null && now >= lastAppendAt.plus(settings.minAppendInterval)
    if (!mayAppend) return LimitsDecision(this)
    val customers = (demands.keys + leases.keys).sortedBy { it.value }
    val shares = customers.mapNotNull { shareRequest(it, now) }
    val slotRequest = slotEntry(now)
    val entries = shares + listOfNotNull(slotRequest)
    if (entries.isEmpty()) return LimitsDecision(this)
    val batch = ShareBatch(
        appendId = "$instance-shares-${lastSequence + 1}",
        instance = instance,
        sequence = lastSequence + 1,
        at = now,
        readOffset = ledger.nextOffset,
        until = now.plus(settings.leaseTerm),
        slotUntil = now.plus(settings.slotTerm),
        entries = entries.toPersistentList()
    )
    val requested = shares.fold(this) { state, share -> state.requested(share, batch.sequence) }
    return LimitsDecision(
        requested.copy(
            inFlight = batch.appendId,
            lastSequence = batch.sequence,
            lastAppendAt = now,
            lastSlotAppendAt = if (slotRequest == null) lastSlotAppendAt else now,
            slot = if (stopping) null else slot
        )
    ).emit(LimitsEffect.Append(batch))
}

private fun LimitsState.requested(share: ShareEntry.Share, sequence: Long): LimitsState {
    val lease = leases[share.customer] ?: Lease()
    val next = lease.copy(requested = share.want, requestedSequence = sequence)
    return stepLease(share.customer, next, LeaseTrigger.Asked)
        .let {
            it.stepLease(share.customer, it.leases.getValue(share.customer), LeaseTrigger.Lowered)
        }
}

private fun LimitsState.shareRequest(customer: CustomerId, now: Instant): ShareEntry.Share? {
    val lease = leases[customer]
    val demand = if (stopping) Demand.None else demands[customer] ?: Demand.None
    val want = targetUnits(customer, demand, now)
    val known = lease?.requested ?: ShareUnits.None
    val changed = isSignificantChange(known, want)
    val renewing = lease?.state == LeaseState.Held && want != ShareUnits.None &&
        lease.until.minus(settings.leaseTerm).plus(settings.renewInterval) <= now
    // A request that was not met in full is repeated: others may have returned shares since.
    val short = lease != null && !want.atMost(lease.usable).covers(want)
    return if (changed || renewing || short) {
        ShareEntry.Share(customer, want, demand.needed)
    } else {
        null
    }
}

private fun ShareUnits.covers(other: ShareUnits): Boolean =
    calls >= other.calls && concurrency >= other.concurrency && bytes >= other.bytes

private fun isSignificantChange(known: ShareUnits, want: ShareUnits): Boolean {
    val difference = known.combinedWith(want) { a, b -> Math.abs(a - b) }
    val largest = maxOf(difference.calls, difference.concurrency, difference.bytes)
    return largest >= MIN_CHANGE_UNITS || (want == ShareUnits.None && known != ShareUnits.None)
}

/**
 * The share to request: what is needed, or a proportional part if all instances together need more
 * than the leased part.
 *
 * The baseline counts only while no other instance has unmet demand, so that one instance can use
 * the whole leased part.
 */
private fun LimitsState.targetUnits(
    customer: CustomerId,
    demand: Demand,
    now: Instant
): ShareUnits {
    val others = ledger.demandOfOthers(customer, instance, now)
    val unmetElsewhere = ledger.unmetDemandOfOthers(customer, instance, now)
    val free = ShareUnits.Leased.saturatingMinus(ledger.heldByOthers(customer, instance, now))
    val fair = demand.needed.combinedWith(others) { own, rest ->
        if (own + rest <= LEASED_UNITS) own else LEASED_UNITS * own / (own + rest)
    }
    val baseline = demand.baseline.combinedWith(unmetElsewhere) { own, unmet ->
        if (unmet > 0) 0 else own
    }
    return fair.combinedWith(baseline, ::maxOf).atMost(free)
}

/**
 * Acquires a static slot, renews it at a quarter of its term, or frees it when stopping.
 *
 * The term is long so that a slot outlasts long outages of the log. An instance that crashed
 * therefore keeps its slot for the rest of the term, and an instance that finds no free slot has no
 * static share.
 */
private fun LimitsState.slotEntry(now: Instant): ShareEntry? {
    val held = ledger.slotOf(instance)
    if (stopping) return held?.let { ShareEntry.FreeSlot }
    val due = lastSlotAppendAt.plus(settings.slotTerm.dividedBy(4)) <= now
    val retry = slot == null && lastSlotAppendAt.plus(SLOT_RETRY_INTERVAL) <= now
    if (!due && !retry) return null
    return (held?.key ?: chooseSlot(now))?.let { ShareEntry.Slot(it) }
}

/** Picks a free slot at random, so that instances that start together rarely pick the same one. */
private fun LimitsState.chooseSlot(now: Instant): Int? {
    val free = ledger.freeSlotsAt(now)
    val draw = Random("$instance ${lastSequence + 1}".hashCode())
    return free.randomOrNull(draw)
}
