package org.wisteriahinge.core.once

import java.time.Instant
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentHashSetOf

private const val SECONDS_PER_BUCKET = 60

/**
 * Who holds which key, as the records of the stream `claims` below [nextOffset] decide it.
 *
 * Records below [lostBefore] were not read, because they expired or the stream was emptied. They
 * may have claimed keys up to the time [latestLostKeyTime], so a key that is not later than it does not count
 * as unclaimed.
 */
public data class ClaimLedger(
    val settings: OnceSettings,
    val nextOffset: Long = 0,
    val lostBefore: Long = 0,
    val latestLostKeyTime: Instant = Instant.MIN,
    val held: PersistentMap<KeyDigest, ClaimEntry.Claim> = persistentHashMapOf(),
    val byMinute: PersistentMap<Long, PersistentSet<KeyDigest>> = persistentHashMapOf()
) {
    /**
     * The stream is retained from [earliest] on; what came before it is lost to this reader.
     *
     * An offset below [nextOffset] means that the stream began anew. Marks of its former records
     * then say nothing about the new ones.
     */
    internal fun resumedAt(earliest: Long, now: Instant): ClaimLedger = copy(
        nextOffset = earliest,
        lostBefore = if (earliest < nextOffset) Long.MAX_VALUE else earliest,
        latestLostKeyTime = now.plus(settings.maxKeyLead)
    )

    /**
     * Notes the record at [offset] without its entries.
     *
     * Its mark bounds the time of the lost records. A mark beyond the record's own offset was
     * written before the stream began anew and bounds nothing.
     */
    internal fun advancedPast(offset: Long, batch: ClaimBatch?): ClaimLedger {
        val next = copy(nextOffset = offset + 1)
        if (batch == null || batch.readOffset !in lostBefore..offset) return next
        return next.copy(
            latestLostKeyTime = minOf(latestLostKeyTime, batch.readAt.plus(settings.maxKeyLead))
        )
    }

    internal fun apply(entry: ClaimEntry, now: Instant): ClaimLedger = when (entry) {
        is ClaimEntry.Claim -> claim(entry, now)
        is ClaimEntry.Release -> release(entry)
    }

    private fun claim(claim: ClaimEntry.Claim, now: Instant): ClaimLedger {
        val outdated = claim.keyTime < now.minus(settings.claimRetention)
        if (outdated || claim.key in held) return this
        val minute = minuteOf(claim.keyTime)
        val keys = byMinute[minute] ?: persistentHashSetOf()
        return copy(
            held = held.put(claim.key, claim),
            byMinute = byMinute.put(minute, keys.add(claim.key))
        )
    }

    private fun release(release: ClaimEntry.Release): ClaimLedger {
        val claim = held[release.key] ?: return this
        if (claim.id != release.id) return this
        val minute = minuteOf(claim.keyTime)
        val keys = byMinute[minute]?.remove(release.key) ?: persistentHashSetOf()
        return copy(held = held.remove(release.key), byMinute = byMinute.put(minute, keys))
    }

    /** Forgets claims whose keys no instance accepts any more. */
    internal fun prune(now: Instant): ClaimLedger {
        val limit = minuteOf(now.minus(settings.claimRetention))
        val outdated = byMinute.keys.filter { it < limit }
        return outdated.fold(this) { ledger, minute ->
            val keys = ledger.byMinute[minute] ?: persistentHashSetOf()
            ledger.copy(
                held = keys.fold(ledger.held) { all, key -> all.remove(key) },
                byMinute = ledger.byMinute.remove(minute)
            )
        }
    }

    private fun minuteOf(time: Instant): Long =
        Math.floorDiv(time.epochSecond, SECONDS_PER_BUCKET.toLong())
}
