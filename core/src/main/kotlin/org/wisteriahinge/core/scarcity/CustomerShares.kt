package org.wisteriahinge.core.scarcity

import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.wisteriahinge.core.model.CustomerId

/** Calls are counted in slices of this length. */
private val SLICE: Duration = Duration.ofSeconds(2)

/** Weight with which older calls remain after one more slice. */
private const val OLDER_WEIGHT = 0.95

/** Older calls of all customers below which their usual shares are unknown. */
private const val MIN_OLDER_CALLS = 16.0

/** Most customers whose calls are counted at one service. */
private const val MAX_CUSTOMERS = 256

/** Slices after which all counts are forgotten. */
private const val MAX_SLICES = 100L

/** A customer above this multiple of its usual share yields, if the counts are large enough. */
private const val MAX_USUAL_RATIO = 2.0

/** Calls beyond the expected ones that chance explains at the rate of one instance. */
private const val CHANCE_CALLS = 3.0

/** Part of the calls that count as usual while their customer sends more than usual. */
private const val EXCESS_WEIGHT = 0.1

/** Calls in the current slice, in the one before, and in all [older] ones with decaying weight. */
public data class CallCounts(
    val current: Double = 0.0,
    val previous: Double = 0.0,
    val older: Double = 0.0
) {
    internal val recent: Double get() = current + previous

    internal fun plusCall(): CallCounts = copy(current = current + 1)

    internal fun nextSlice(weight: Double): CallCounts =
        CallCounts(0.0, current, older * OLDER_WEIGHT + previous * weight)
}

/**
 * The calls of customers at one service. The current slice began at [sliceStart].
 *
 * A customer sends too much if its share of the recent calls is far above both its usual share and
 * an equal one. Shares and not rates are compared, so that nobody yields when all send more.
 */
public data class CustomerShares(
    val counts: PersistentMap<CustomerId, CallCounts> = persistentHashMapOf(),
    val total: CallCounts = CallCounts(),
    val sliceStart: Instant = Instant.EPOCH
) {
    /** Whether [customer] sent far more lately than usual and than an equal share. */
    public fun isAboveShare(customer: CustomerId): Boolean {
        val count = counts[customer] ?: return false
        if (total.older < MIN_OLDER_CALLS) return false
        val equal = total.recent / counts.size
        val usual = total.recent * count.older / total.older
        return count.recent > MAX_USUAL_RATIO * maxOf(usual, equal) + CHANCE_CALLS
    }

    internal fun arrived(customer: CustomerId, now: Instant): CustomerShares {
        val known = atSliceOf(now)
        val count = known.counts[customer] ?: CallCounts()
        val kept = if (customer in known.counts) known.counts else known.counts.withRoom()
        return known.copy(
            counts = kept.put(customer, count.plusCall()),
            total = known.total.plusCall()
        )
    }

    private fun atSliceOf(now: Instant): CustomerShares {
        val slices = Duration.between(sliceStart, now).dividedBy(SLICE)
        if (slices <= 0) return this
        if (slices > MAX_SLICES) return CustomerShares(sliceStart = now)
        val moved = generateSequence(this) { it.nextSlice() }.elementAt(slices.toInt())
        return moved.copy(sliceStart = sliceStart + SLICE.multipliedBy(slices))
    }

    private fun nextSlice(): CustomerShares {
        val next = counts.builder()
        counts.forEach { (customer, count) ->
            val weight = if (isAboveShare(customer)) EXCESS_WEIGHT else 1.0
            next[customer] = count.nextSlice(weight)
        }
        val older = next.values.sumOf { it.older }
        return copy(counts = next.build(), total = CallCounts(0.0, total.current, older))
    }

    private fun PersistentMap<CustomerId, CallCounts>.withRoom() = if (size < MAX_CUSTOMERS) {
        this
    } else {
        remove(minBy { it.value.recent + it.value.older }.key)
    }
}
