package org.wisteriahinge.core.ratelimit

import java.time.Instant
import java.util.SplittableRandom
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.wisteriahinge.core.model.TargetId

/** Slices of a limit of less than one request per second; see [sliceCount]. */
private const val MIN_SLICES = 3

/** Most slices of one limit; bounds the cost of counting those of an instance. */
private const val MAX_SLICES = 64

/**
 * Part of the rate at which an instance goes on after its lease ended and it could not renew it.
 *
 * Other instances may hold the same partitions by then. Even if all of them do, a target gets at
 * most one and a half times its limit.
 */
private const val REDUCED_RATE = 0.5

/** The part of the targets' rate limits that this instance may use. */
public sealed interface RateLimitShare {
    /** All of every limit, for an instance without others. */
    public data object Whole : RateLimitShare

    /**
     * The slices that fall on the [partitions] of this instance, out of [partitionCount].
     *
     * No other instance holds them before [heldUntil]. From then on until [reducedUntil] they are
     * used at a reduced rate.
     */
    public data class Leased(
        val partitions: PersistentSet<Int>,
        val partitionCount: Int,
        val heldUntil: Instant,
        val reducedUntil: Instant
    ) : RateLimitShare

    public companion object {
        /** The share of an instance that holds no partition. */
        public val None: RateLimitShare = Leased(persistentSetOf(), 1, Instant.MIN, Instant.MIN)
    }
}

/** The [owned] slices of an instance, out of the [count] slices of a limit. */
public data class RateSlices(val owned: Int, val count: Int)

/**
 * The number of slices into which a limit is divided.
 *
 * Each slice belongs to one instance. Many slices spread a limit over many instances, so that it
 * is used up even if each of them gets few requests. But each instance may have saved up one
 * request, so that the number bounds how many may reach the target at the same moment.
 */
private fun sliceCount(requestsPerSecond: Double): Int =
    requestsPerSecond.coerceAtMost(MAX_SLICES.toDouble()).toInt() + MIN_SLICES

/** The slices of the limit of [target] that belong to this instance. */
internal fun RateLimitShare.slicesOf(target: TargetId, requestsPerSecond: Double): RateSlices =
    when (this) {
        RateLimitShare.Whole -> RateSlices(owned = 1, count = 1)
        is RateLimitShare.Leased -> {
            val count = sliceCount(requestsPerSecond).coerceAtMost(partitionCount)
            val first = SplittableRandom(target.value.hashCode().toLong()).nextInt(partitionCount)
            val owned = (0 until count).count { (first + it) % partitionCount in partitions }
            RateSlices(owned, count)
        }
    }

/** The part of its rate that the share may be used at. */
internal fun RateLimitShare.rateFactor(now: Instant): Double = when (this) {
    RateLimitShare.Whole -> 1.0
    is RateLimitShare.Leased -> when {
        now < heldUntil -> 1.0
        now < reducedUntil -> REDUCED_RATE
        else -> 0.0
    }
}
