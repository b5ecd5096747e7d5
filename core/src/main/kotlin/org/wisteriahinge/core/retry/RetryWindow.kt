package org.wisteriahinge.core.retry

import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList

/** Length of a slice, which is the resolution of the window. */
private const val SLICE_MILLIS = 250L

/** The counts of one slice. [index] is the epoch time divided by the slice length. */
public data class WindowSlice(val index: Long, val requests: Int = 0, val extraAttempts: Int = 0)

/** A sliding window that counts the requests and extra attempts of one service, in slices. */
public data class RetryWindow(val slices: PersistentList<WindowSlice> = persistentListOf()) {
    internal fun countRequest(limit: RetryLimit.Window, now: Instant): RetryWindow =
        updateSlice(limit, now) { it.copy(requests = it.requests + 1) }

    internal fun countExtraAttempt(limit: RetryLimit.Window, now: Instant): RetryWindow =
        updateSlice(limit, now) { it.copy(extraAttempts = it.extraAttempts + 1) }

    /** Number of extra attempts that may start at [now] within a [share] of what [limit] allows. */
    internal fun remaining(limit: RetryLimit.Window, share: Double, now: Instant): Double {
        val oldest = oldestIndex(limit, now)
        val inside = slices.filter { it.index >= oldest }
        // The oldest slice is partly outside the window. Only its extra attempts are counted, so
        // that the limit is never exceeded.
        val requests = inside.filter { it.index > oldest }.sumOf { it.requests }
        return share * (limit.ratio * requests + limit.baseAllowance) -
            inside.sumOf { it.extraAttempts }
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
     * times this instance's requests plus [baseAllowance]. Hedges use at most [hedgeShare] of this,
     * so that some is left for retries.
     *
     * No coordination between instances is needed: in total they stay within [ratio] of all
     * requests plus [baseAllowance] for each instance.
     */
    public data class Window(
        val length: Duration,
        val ratio: Double,
        val baseAllowance: Double,
        val hedgeShare: Double
    ) : RetryLimit
}
