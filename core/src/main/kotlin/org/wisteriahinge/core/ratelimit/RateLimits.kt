package org.wisteriahinge.core.ratelimit

import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.wisteriahinge.core.limits.TokenBucket
import org.wisteriahinge.core.model.RateLimitReport
import org.wisteriahinge.core.model.TargetId

/**
 * Time for which a limit stays in force after it was last named. Answers arrive out of order, so
 * that an older one without the limit may follow a newer one with it.
 */
private val HOLD_TIME: Duration = Duration.ofSeconds(1)

/** Time after which a target that gets no requests is asked whether it still names its limit. */
private val CHECK_PERIOD: Duration = Duration.ofSeconds(2)

/** Time after which a limit is forgotten if the target did not name it again. */
private val MAX_SILENCE: Duration = Duration.ofSeconds(60)

private const val NANOS_PER_SECOND = 1e9

/**
 * The rate limits that targets name in their answers, and the [share] of them that this instance
 * may use.
 *
 * A limit that becomes known or a slice that becomes this instance's own starts without permits,
 * because other instances may just have used theirs.
 */
public data class RateLimits(
    val byTarget: PersistentMap<TargetId, TargetRateLimit> = persistentHashMapOf(),
    val share: RateLimitShare = RateLimitShare.Whole
) {
    /**
     * Applies the [report] of [target]. A lower limit is in force at once; a higher one, or none,
     * once the lower one was not named for [HOLD_TIME].
     */
    internal fun reported(target: TargetId, report: RateLimitReport, now: Instant): RateLimits {
        val known = byTarget[target]
        val isHeld = known != null && now < known.namedAt + HOLD_TIME
        return when (report) {
            is RateLimitReport.Invalid -> this
            RateLimitReport.Unlimited ->
                if (known == null || isHeld) this else copy(byTarget = byTarget.remove(target))
            is RateLimitReport.Limited -> {
                val isHigher =
                    known != null && report.requestsPerSecond > known.requestsPerSecond
                if (isHigher && isHeld) this else named(target, report.requestsPerSecond, now)
            }
        }
    }

    private fun named(target: TargetId, requestsPerSecond: Double, now: Instant): RateLimits {
        val known = byTarget[target]
        val next = if (known?.requestsPerSecond == requestsPerSecond) {
            known.copy(namedAt = now, checkedAt = now)
        } else {
            val bucket = known?.filled(share.rateFactor(now), now)?.bucket ?: TokenBucket(0.0, now)
            val slices = share.slicesOf(target, requestsPerSecond)
            TargetRateLimit(requestsPerSecond, now, now, slices, bucket)
        }
        return copy(byTarget = byTarget.put(target, next))
    }

    /** Applies the share that this instance may use from [now] on. */
    internal fun withShare(next: RateLimitShare, now: Instant): RateLimits {
        val factor = share.rateFactor(now)
        val limits = byTarget.entries.fold(byTarget) { all, (target, limit) ->
            val slices = next.slicesOf(target, limit.requestsPerSecond)
            all.put(target, limit.filled(factor, now).copy(slices = slices))
        }
        return RateLimits(limits, next)
    }

    /** Whether a request of this [urgency] may be sent to [target] now. */
    internal fun permits(target: TargetId, urgency: RequestUrgency, now: Instant): Boolean {
        val limit = byTarget[target] ?: return true
        val factor = share.rateFactor(now)
        return when {
            limit.namedAt + MAX_SILENCE <= now -> true
            factor == 0.0 -> false
            else -> limit.filled(factor, now).bucket.tokens >= urgency.neededTokens
        }
    }

    /** Counts a request that is sent to [target] now. */
    internal fun sent(target: TargetId, now: Instant): RateLimits {
        val limit = byTarget[target] ?: return this
        val filled = limit.filled(share.rateFactor(now), now)
        val left = (filled.bucket.tokens - 1).coerceAtLeast(0.0)
        val next = filled.copy(bucket = filled.bucket.copy(tokens = left))
        return copy(byTarget = byTarget.put(target, next))
    }

    /** When one of [targets] may get a request from this instance; null if none of them may. */
    internal fun nextPermitAt(
        targets: List<TargetId>,
        urgency: RequestUrgency,
        now: Instant
    ): Instant? {
        val factor = share.rateFactor(now)
        return targets.mapNotNull { byTarget[it] }
            .filter { it.ownPerSecond * factor > 0 }
            .minOfOrNull { limit ->
                val missing = urgency.neededTokens - limit.filled(factor, now).bucket.tokens
                val seconds = missing.coerceAtLeast(0.0) / (limit.ownPerSecond * factor)
                now + Duration.ofNanos((seconds * NANOS_PER_SECOND).toLong())
            }
    }

    /** A target among [targets] that was not heard of for a while; null if there is none. */
    internal fun firstUnchecked(targets: List<TargetId>, now: Instant): TargetId? =
        if (byTarget.isEmpty()) {
            null
        } else {
            targets.firstOrNull { id ->
                byTarget[id]?.let { it.checkedAt + CHECK_PERIOD <= now } == true
            }
        }

    /** Records that [target] is asked for its limit at [now]. */
    internal fun checked(target: TargetId, now: Instant): RateLimits {
        val limit = byTarget[target] ?: return this
        return copy(byTarget = byTarget.put(target, limit.copy(checkedAt = now)))
    }

    /** These limits without those of targets that are not in [targets]. */
    internal fun retaining(targets: Set<TargetId>): RateLimits {
        val gone = byTarget.keys.filter { it !in targets }
        return if (gone.isEmpty()) this else copy(byTarget = byTarget.minus(gone))
    }
}

private fun PersistentMap<TargetId, TargetRateLimit>.minus(ids: List<TargetId>) =
    ids.fold(this) { all, id -> all.remove(id) }
