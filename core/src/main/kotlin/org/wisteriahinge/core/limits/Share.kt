package org.wisteriahinge.core.limits

import java.time.Instant
import kotlinx.collections.immutable.PersistentList
import org.wisteriahinge.core.model.CustomerId
import org.wisteriahinge.core.model.InstanceId

/** The part of every allowance that is leased through the log, in thousandths. */
public const val LEASED_UNITS: Int = 900

/** The part of every allowance that is split over the instance slots, in thousandths. */
public const val STATIC_UNITS: Int = 100

/** A whole allowance in thousandths. */
public const val ALL_UNITS: Int = 1_000

/**
 * Parts of a customer's allowance in thousandths.
 *
 * Shares are parts and not amounts, so that instances that have different revisions of the plans
 * fold the log to the same shares.
 */
public data class ShareUnits(val calls: Int, val concurrency: Int, val bytes: Int) {
    /** Combines each part with that of [other]. */
    internal fun combinedWith(other: ShareUnits, combine: (Int, Int) -> Int): ShareUnits =
        ShareUnits(
            combine(calls, other.calls),
            combine(concurrency, other.concurrency),
            combine(bytes, other.bytes)
        )

    internal operator fun plus(other: ShareUnits): ShareUnits = combinedWith(other, Int::plus)

    internal fun atMost(other: ShareUnits): ShareUnits = combinedWith(other, ::minOf)

    /** What [other] leaves of this, at least nothing. */
    internal fun saturatingMinus(other: ShareUnits): ShareUnits =
        combinedWith(other) { a, b -> maxOf(0, a - b) }

    public companion object {
        public val None: ShareUnits = ShareUnits(0, 0, 0)
        internal val Leased: ShareUnits = ShareUnits(LEASED_UNITS, LEASED_UNITS, LEASED_UNITS)
    }
}

/** One entry of a batch in the stream `shares`. */
public sealed interface ShareEntry {
    /** The writer wants [want] of the allowance of [customer]; it could use [demand]. */
    public data class Share(
        val customer: CustomerId,
        val want: ShareUnits,
        val demand: ShareUnits
    ) : ShareEntry

    /** The writer wants to hold or go on holding the static slot [slot]. */
    public data class Slot(val slot: Int) : ShareEntry

    /** The writer gives its static slot up and uses it no more. */
    public data object FreeSlot : ShareEntry
}

/**
 * One record of the stream `shares`, written at [at] by the clock of [instance].
 *
 * The writer had read the stream up to but without [readOffset] before it. [sequence] grows with
 * each record of an instance. Shares last until [until] and the slot until
 * [slotUntil], unless a later record replaces them.
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
