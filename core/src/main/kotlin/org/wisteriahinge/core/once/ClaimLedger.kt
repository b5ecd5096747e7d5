package org.wisteriahinge.core.once

import java.time.Instant
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentHashSetOf

private const val SECONDS_PER_BUCKET = 60

/**
 * The claimed keys, computed from the records of the stream `claims` below [nextOffset].
 *
 * Records below [lostBefore] were not read, because they expired or the stream was emptied. They
 * may have claimed keys with times up to [latestLostKeyTime], so such a key is never treated as
 * unclaimed.
 *
 * @property held the claim that holds each key.
 * @property byMinute the held keys by the minute of their time, so that old ones are found quickly.
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
     * Continues at [earliest]; the records before it are lost to this reader.
     *
     * An offset below [nextOffset] means that the stream was emptied and restarted. The read
     * offsets in later records may then refer to the old stream, so none of them is used.
     */
    internal fun resumedAt(earliest: Long, now: Instant): ClaimLedger = copy(
        nextOffset = earliest,
        lostBefore = if (earliest < nextOffset) Long.MAX_VALUE else earliest,
        latestLostKeyTime = now.plus(settings.maxKeyLead)
    )

    /**
     * Advances past the record at [offset] without applying its entries.
     *
     * A writer that had read the records lost here proves that they are older than its record. A
     * read offset beyond the record's own offset refers to the stream before it restarted and
     * proves nothing.
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

    /** Removes claims whose keys are so old that every instance refuses them. */
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
