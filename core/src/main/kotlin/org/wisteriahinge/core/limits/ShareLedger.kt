package org.wisteriahinge.core.limits

import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.wisteriahinge.core.model.CustomerId
import org.wisteriahinge.core.model.InstanceId

/**
 * The share of one allowance that an instance holds.
 *
 * A reader that missed records knows only bounds of the granted share, [lowerBound] and
 * [upperBound]; they are equal when no record was missed. The part [neverHeld] of the newest grant
 * was not held by any instance before.
 */
public data class Holding(
    val lowerBound: ShareUnits,
    val upperBound: ShareUnits,
    val neverHeld: ShareUnits,
    val demand: ShareUnits,
    val until: Instant,
    val sequence: Long
)

/** The holder of a static slot. */
public data class SlotHolding(val instance: InstanceId, val until: Instant, val sequence: Long)

/**
 * The holders of shares and slots, computed from the records of the stream `shares` below
 * [nextOffset].
 *
 * Expiry is determined by the time in each record and not by the reader's clock, so that all
 * readers get the same result.
 *
 * @property lostBefore records below this offset were not read.
 * @property lostUntil time after which no share from an unread record is in force.
 * @property slotsLostUntil time after which no slot from an unread record is in force.
 * @property hasLostRecords whether any record of the stream was not read.
 * @property everGranted the sum of all grants of each allowance so far, at most the leased part.
 */
public data class ShareLedger(
    val settings: LimitsSettings,
    val nextOffset: Long = 0,
    val lostBefore: Long = 0,
    val lostUntil: Instant = Instant.MIN,
    val slotsLostUntil: Instant = Instant.MIN,
    val shares: PersistentMap<CustomerId, PersistentMap<InstanceId, Holding>> =
        persistentHashMapOf(),
    val slots: PersistentMap<Int, SlotHolding> = persistentHashMapOf(),
    val hasLostRecords: Boolean = false,
    val everGranted: PersistentMap<CustomerId, ShareUnits> = persistentHashMapOf()
) {
    /** Continues at [earliest]; the records before it are lost to this reader. */
    internal fun resumedAt(earliest: Long, now: Instant): ShareLedger {
        if (earliest == 0L && nextOffset == 0L) return this
        // After a restart of the stream, read offsets may refer to the old one and prove nothing.
        val lost = if (earliest < nextOffset) Long.MAX_VALUE else earliest
        return copy(nextOffset = earliest, lostBefore = lost, hasLostRecords = true)
            .copy(lostUntil = endOf(now, settings.leaseTerm))
            .copy(slotsLostUntil = endOf(now, settings.slotTerm))
    }

    /** When every holding of [term] appended before [time], by any other clock, has expired. */
    private fun endOf(time: Instant, term: Duration): Instant =
        time.plus(term).plus(settings.maxClockSkew.multipliedBy(2))

    internal fun apply(read: ReadShares): ShareLedger {
        val next = copy(nextOffset = read.offset + 1)
        val batch = read.batch ?: return next
        return batch.entries.fold(next.boundedBy(read.offset, batch)) { ledger, entry ->
            when (entry) {
                is ShareEntry.Share -> ledger.applyShare(batch, entry)
                is ShareEntry.Slot -> ledger.applySlot(batch, entry)
                ShareEntry.FreeSlot -> ledger.freeSlot(batch)
            }
        }
    }

    /** A writer that had read the records lost here proves that they are older than its [batch]. */
    private fun boundedBy(offset: Long, batch: ShareBatch): ShareLedger =
        if (batch.readOffset in lostBefore..offset) {
            copy(
                lostUntil = minOf(lostUntil, endOf(batch.at, settings.leaseTerm)),
                slotsLostUntil = minOf(slotsLostUntil, endOf(batch.at, settings.slotTerm))
            )
        } else {
            this
        }

    private fun applyShare(batch: ShareBatch, entry: ShareEntry.Share): ShareLedger {
        val holdings = shares[entry.customer] ?: persistentHashMapOf()
        val own = holdings[batch.instance]
        if (own != null && own.sequence >= batch.sequence) return this
        val others = holdings.remove(batch.instance).filterValues { isInForce(it.until, batch.at) }
        val unread = if (batch.at < lostUntil) ShareUnits.Leased else ShareUnits.None
        val possiblyTaken = others.values.fold(unread) { sum, held -> sum + held.upperBound }
        val certainlyTaken = others.values.fold(ShareUnits.None) { sum, held ->
            sum + held.lowerBound
        }
        val granted = entry.want.atMost(ShareUnits.Leased.saturatingMinus(possiblyTaken))
        val mostGranted = entry.want.atMost(ShareUnits.Leased.saturatingMinus(certainlyTaken))
        val kept = own?.takeIf { isInForce(it.until, batch.at) }
        val holding = Holding(
            lowerBound = granted,
            upperBound = mostGranted,
            neverHeld = granted.saturatingMinus(kept?.upperBound ?: ShareUnits.None)
                .atMost(neverHeld(entry.customer)),
            demand = entry.demand,
            until = batch.until,
            sequence = batch.sequence
        )
        val inForce = others.entries.fold(persistentHashMapOf<InstanceId, Holding>()) { all, next ->
            all.put(next.key, next.value)
        }
        val added = mostGranted.saturatingMinus(kept?.lowerBound ?: ShareUnits.None)
        return copy(shares = shares.put(entry.customer, inForce.put(batch.instance, holding)))
            .granted(entry.customer, added)
    }

    /** The part of [customer]'s leased allowance that no instance ever held. */
    private fun neverHeld(customer: CustomerId): ShareUnits = if (hasLostRecords) {
        ShareUnits.None
    } else {
        ShareUnits.Leased.saturatingMinus(everGranted[customer] ?: ShareUnits.None)
    }

    private fun granted(customer: CustomerId, added: ShareUnits): ShareLedger {
        val sum = (everGranted[customer] ?: ShareUnits.None) + added
        return copy(everGranted = everGranted.put(customer, sum.atMost(ShareUnits.Leased)))
    }

    private fun applySlot(batch: ShareBatch, entry: ShareEntry.Slot): ShareLedger {
        val holder = slots[entry.slot]
        val isOwn = holder?.instance == batch.instance
        val taken = holder != null && !isOwn && isInForce(holder.until, batch.at)
        val outdated = isOwn && holder.sequence >= batch.sequence
        // The slot may be held according to an unread record, so it is not granted.
        val unknown = holder == null && batch.at < slotsLostUntil
        if (taken || outdated || unknown) return this
        val holding = SlotHolding(batch.instance, batch.slotUntil, batch.sequence)
        return copy(slots = slots.put(entry.slot, holding))
    }

    private fun freeSlot(batch: ShareBatch): ShareLedger {
        val freed = slots.filterValues {
            it.instance == batch.instance && it.sequence < batch.sequence
        }
        return copy(slots = freed.keys.fold(slots) { all, slot -> all.remove(slot) })
    }

    /** Whether a holding until [until] is in force at [at] by the clock of another instance. */
    private fun isInForce(until: Instant, at: Instant): Boolean =
        until.plus(settings.maxClockSkew) > at

    /** The most that instances other than [instance] may hold of [customer]'s allowance at [at]. */
    internal fun heldByOthers(customer: CustomerId, instance: InstanceId, at: Instant): ShareUnits =
        others(customer, instance, at).fold(ShareUnits.None) { sum, held -> sum + held.upperBound }

    /** The demand of the instances other than [instance] for [customer]'s allowance. */
    internal fun demandOfOthers(
        customer: CustomerId,
        instance: InstanceId,
        at: Instant
    ): ShareUnits =
        others(customer, instance, at).fold(ShareUnits.None) { sum, held -> sum + held.demand }

    /** The demand of the instances other than [instance] that exceeds the shares they hold. */
    internal fun unmetDemandOfOthers(
        customer: CustomerId,
        instance: InstanceId,
        at: Instant
    ): ShareUnits = others(customer, instance, at)
        .fold(ShareUnits.None) { sum, held ->
            sum + held.demand.saturatingMinus(held.upperBound)
        }

    private fun others(customer: CustomerId, instance: InstanceId, at: Instant): List<Holding> =
        shares[customer].orEmpty()
            .filter { (holder, holding) -> holder != instance && isInForce(holding.until, at) }
            .values.toList()

    internal fun slotOf(instance: InstanceId): Map.Entry<Int, SlotHolding>? =
        slots.entries.firstOrNull { it.value.instance == instance }

    /** The slots that no instance holds at [at]. */
    internal fun freeSlotsAt(at: Instant): List<Int> = (0 until settings.slots).filter { slot ->
        slots[slot]?.let { !isInForce(it.until, at) } ?: true
    }
}
