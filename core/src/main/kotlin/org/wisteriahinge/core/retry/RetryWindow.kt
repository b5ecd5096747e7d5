package org.wisteriahinge.core.retry

import java.time.Duration
import java.time.Instant
import java.util.SplittableRandom
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.wisteriahinge.core.model.ServiceId

/** Length of a slice, which is the resolution of the window. */
private const val SLICE_MILLIS = 250L

/**
 * The counts of one slice. [index] is the epoch time divided by the slice length.
 *
 * [requests] include the [repeatableRequests], and [extraAttempts] include the [hedges].
 */
public data class WindowSlice(
    val index: Long,
    val requests: Int = 0,
    val repeatableRequests: Int = 0,
    val extraAttempts: Int = 0,
    val hedges: Int = 0
)

/** A sliding window that counts the requests and extra attempts of one service, in slices. */
public data class RetryWindow(val slices: PersistentList<WindowSlice> = persistentListOf()) {
    internal fun countRequest(
        limit: RetryLimit.Window,
        isRepeatable: Boolean,
        now: Instant
    ): RetryWindow = updateSlice(limit, now) {
        val repeatable = it.repeatableRequests + if (isRepeatable) 1 else 0
        it.copy(requests = it.requests + 1, repeatableRequests = repeatable)
    }

    internal fun countRetry(limit: RetryLimit.Window, now: Instant): RetryWindow =
        updateSlice(limit, now) { it.copy(extraAttempts = it.extraAttempts + 1) }

    internal fun countHedge(limit: RetryLimit.Window, now: Instant): RetryWindow =
        updateSlice(limit, now) {
            it.copy(extraAttempts = it.extraAttempts + 1, hedges = it.hedges + 1)
        }

    /** Whether [limit] allows a retry at [now]. */
    internal fun allowsRetry(limit: RetryLimit.Window, now: Instant): Boolean {
        val counts = countsAt(limit, now)
        return limit.ratio * counts.requests + limit.baseAllowance - counts.extraAttempts >= 1
    }

    /**
     * Whether [limit] allows a hedge at [now]. Fractions of a hedge add up over the window, and the
     * last one is rounded by [rounding], from 0 to 1.
     */
    internal fun allowsHedge(limit: RetryLimit.Window, rounding: Double, now: Instant): Boolean {
        val counts = countsAt(limit, now)
        val hedges = limit.hedges.ratio * counts.repeatableRequests - counts.hedges
        val budget = limit.hedges.budgetShare * limit.ratio * counts.requests - counts.extraAttempts
        return minOf(hedges, budget) + rounding >= 1
    }

    /**
     * The counts in the window that ends at [now]. The oldest slice is partly outside the window.
     * Only its extra attempts are counted, so that the limit is never exceeded.
     */
    private fun countsAt(limit: RetryLimit.Window, now: Instant): WindowSlice {
        val oldest = oldestIndex(limit, now)
        val inside = slices.filter { it.index >= oldest }
        val whole = inside.filter { it.index > oldest }
        return WindowSlice(
            oldest,
            requests = whole.sumOf { it.requests },
            repeatableRequests = whole.sumOf { it.repeatableRequests },
            extraAttempts = inside.sumOf { it.extraAttempts },
            hedges = inside.sumOf { it.hedges }
        )
    }

    private fun updateSlice(
        limit: RetryLimit.Window,
        now: Instant,
        change: (WindowSlice) -> WindowSlice
    ): RetryWindow {
        val index = sliceIndexOf(now)
        val last = slices.lastOrNull()
        if (last != null && last.index >= index) {
            return copy(slices = slices.set(slices.lastIndex, change(last)))
        }
        val oldest = oldestIndex(limit, now)
        val kept = slices.dropWhile { it.index < oldest }.toPersistentList()
        return copy(slices = kept.add(change(WindowSlice(index))))
    }

    private fun oldestIndex(limit: RetryLimit.Window, now: Instant): Long =
        sliceIndexOf(now - limit.length)

    private fun sliceIndexOf(time: Instant): Long = time.toEpochMilli() / SLICE_MILLIS
}

/** How the retries and hedges of a service are limited. */
public sealed interface RetryLimit {
    /** Each call adds a fraction of an attempt to a token bucket; see [RetrySettings]. */
    public data object TokenBucket : RetryLimit

    /**
     * A sliding window. In any period of [length], retries and hedges together are at most [ratio]
     * times this instance's requests plus [baseAllowance]. [hedges] limits the hedges among them.
     *
     * No coordination between instances is needed: in total they stay within [ratio] of all
     * requests plus [baseAllowance] for each instance.
     */
    public data class Window(
        val length: Duration,
        val ratio: Double,
        val baseAllowance: Double,
        val hedges: HedgeLimit
    ) : RetryLimit
}

/**
 * How many hedges a service may get in the window of [RetryLimit.Window].
 *
 * They are at most [ratio] times the repeatable requests, and use at most [budgetShare] of what
 * retries and hedges together may use, so that some is left for retries.
 *
 * There is no allowance without requests. What an instance may use is mostly a fraction beyond a
 * whole number, and instances that all rounded up would together use far more than their ratio.
 * Each rounds at a point of its own for each service, drawn from [seed], so that the sum over many
 * instances is close to the ratio of all requests.
 */
public data class HedgeLimit(val ratio: Double, val budgetShare: Double, val seed: Long) {
    internal fun roundingFor(service: ServiceId): Double =
        SplittableRandom(seed xor service.value.hashCode().toLong()).nextDouble()
}
