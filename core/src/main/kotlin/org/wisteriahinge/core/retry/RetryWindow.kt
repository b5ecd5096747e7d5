package org.wisteriahinge.core.retry

import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList

/** Length of a slice; the window is exact up to one slice. */
private const val SLICE_MILLIS = 250L

/** What was counted in the slice of time number [index]. */
public data class WindowSlice(val index: Long, val requests: Int = 0, val extraAttempts: Int = 0)

/** The requests of one service and their repeats within a sliding window, in slices of time. */
public data class RetryWindow(val slices: PersistentList<WindowSlice> = persistentListOf()) {
    internal fun countRequest(limit: RetryLimit.Window, now: Instant): RetryWindow =
        updateSlice(limit, now) { it.copy(requests = it.requests + 1) }

    internal fun countExtraAttempt(limit: RetryLimit.Window, now: Instant): RetryWindow =
        updateSlice(limit, now) { it.copy(extraAttempts = it.extraAttempts + 1) }

    /** Repeats that may start at [now], for a [share] of what [limit] allows. */
    internal fun remaining(limit: RetryLimit.Window, share: Double, now: Instant): Double {
        val oldest = oldestIndex(limit, now)
        val inside = slices.filter { it.index >= oldest }
        // Requests of the oldest slice may lie before the window, repeats in it count as inside.
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

/** What bounds the further attempts of a service. */
public sealed interface RetryLimit {
    /** Each call saves a part of an attempt, up to a burst; see [RetrySettings]. */
    public data object TokenBucket : RetryLimit

    /**
     * In any [length], at most [ratio] of this instance's requests plus [baseAllowance], retries and
     * hedges together. Hedges leave a part to retries: they use up to [hedgeShare].
     *
     * The instances need not know each other: in sum they stay within [ratio] of all requests
     * plus [baseAllowance] for each instance.
     */
    public data class Window(
        val length: Duration,
        val ratio: Double,
        val baseAllowance: Double,
        val hedgeShare: Double
    ) : RetryLimit
}
