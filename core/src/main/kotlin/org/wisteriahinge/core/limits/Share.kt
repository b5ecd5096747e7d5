package org.wisteriahinge.core.limits

import java.time.Instant
import kotlinx.collections.immutable.PersistentList
import org.wisteriahinge.core.model.CustomerId
import org.wisteriahinge.core.model.InstanceId

/** The part of every allowance that is leased through the log, in thousandths. */
public const val LEASED_UNITS: Int = 900

/** The part of every allowance that is split over the instance slots, in thousandths. */
public const val STATIC_UNITS: Int = 100

/** A whole allowance, in thousandths. */
public const val ALL_UNITS: Int = 1_000

/**
 * Parts of a customer's allowance in thousandths.
 *
 * Shares are relative, so that instances with different revisions of the plans compute the same
 * shares from the log.
 */
public data class ShareUnits(val calls: Int, val concurrency: Int, val bytes: Int) {
    /** Applies [combine] to each part and the same part of [other]. */
    internal fun combinedWith(other: ShareUnits, combine: (Int, Int) -> Int): ShareUnits =
        ShareUnits(
            combine(calls, other.calls),
            combine(concurrency, other.concurrency),
            combine(bytes, other.bytes)
        )

    internal operator fun plus(other: ShareUnits): ShareUnits = combinedWith(other, Int::plus)

    internal fun atMost(other: ShareUnits): ShareUnits = combinedWith(other, ::minOf)

    /** Subtracts each part of [other], with 0 as the smallest result. */
    internal fun saturatingMinus(other: ShareUnits): ShareUnits =
        combinedWith(other) { a, b -> maxOf(0, a - b) }

    public companion object {
        public val None: ShareUnits = ShareUnits(0, 0, 0)
        internal val Leased: ShareUnits = ShareUnits(LEASED_UNITS, LEASED_UNITS, LEASED_UNITS)
    }
}

/** An entry of a [ShareBatch]. */
public sealed interface ShareEntry {
    /** Requests [want] of the allowance of [customer]; the writer could use [demand]. */
    public data class Share(
        val customer: CustomerId,
        val want: ShareUnits,
        val demand: ShareUnits
    ) : ShareEntry

    /** Requests or renews the static slot [slot]. */
    public data class Slot(val slot: Int) : ShareEntry

    /** Returns the writer's static slot, which it no longer uses. */
    public data object FreeSlot : ShareEntry
}

/**
 * One record of the stream `shares`, written at [at] by the clock of [instance].
 *
 * The writer had read all records below [readOffset]. [sequence] grows with each record of an
 * instance. Shares last until [until] and the slot until [slotUntil], unless a later record of the
 * instance replaces them.
 */
public data class ShareBatch(
    val appendId: String,
    val instance: InstanceId,
    val sequence: Long,
    val at: Instant,
    val readOffset: Long,
    val until: Instant,
    val slotUntil: Instant,
    val entries: PersistentList<ShareEntry>
)

/** A record read from the stream; [batch] is null when it is malformed or of another version. */
public data class ReadShares(val offset: Long, val batch: ShareBatch?)
