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
 * The rate limits that targets name in their answers, the [share] of them that this instance may
 * use, and until when targets want no requests from it.
 *
 * A limit that becomes known or a slice that becomes this instance's own starts without permits,
 * because other instances may just have used theirs.
 */
public data class RateLimits(
    val byTarget: PersistentMap<TargetId, TargetRateLimit> = persistentHashMapOf(),
    val share: RateLimitShare = RateLimitShare.Whole,
    val pausedUntil: PersistentMap<TargetId, Instant> = persistentHashMapOf()
) {
    /** Whether [target] named a limit or a pause. */
    internal fun restricts(target: TargetId): Boolean = target in byTarget || target in pausedUntil

    /** The targets that named a limit or a pause. */
    internal val restricted: Set<TargetId> get() = byTarget.keys + pausedUntil.keys

    /** [target] wants no requests from this instance before [until]. */
    internal fun paused(target: TargetId, until: Instant): RateLimits {
        val known = pausedUntil[target] ?: until
        return copy(pausedUntil = pausedUntil.put(target, maxOf(known, until)))
    }

    /** Whether [target] wants no requests and no probes at [now]. */
    internal fun isPaused(target: TargetId, now: Instant): Boolean =
        pausedUntil[target]?.let { it > now } == true

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
        return copy(byTarget = limits, share = next)
    }

    /** Whether a request of this [urgency] may be sent to [target] now. */
    internal fun permits(target: TargetId, urgency: RequestUrgency, now: Instant): Boolean {
        if (isPaused(target, now)) return false
        val limit = byTarget[target] ?: return true
        val factor = share.rateFactor(now)
        return when {
            limit.namedAt + MAX_SILENCE <= now -> true
            factor == 0.0 -> false
            else -> limit.filled(factor, now).bucket.tokens >= urgency.neededTokens
        }
    }

    /** Counts a request that is sent to [target] now, which ends a pause that is over. */
    internal fun sent(target: TargetId, now: Instant): RateLimits {
        val resumed = if (target in pausedUntil) {
            copy(pausedUntil = pausedUntil.remove(target))
        } else {
            this
        }
        return resumed.counted(target, now)
    }

    private fun counted(target: TargetId, now: Instant): RateLimits {
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
        val times = targets.mapNotNull { target ->
            val limitedUntil = limitedUntil(target, urgency, now)
            limitedUntil?.let { maxOf(it, pausedUntil[target] ?: now) }
        }
        return times.minOrNull()
    }

    /** When the limit of [target] allows a request; null if this instance has no part in it. */
    private fun limitedUntil(target: TargetId, urgency: RequestUrgency, now: Instant): Instant? {
        val limit = byTarget[target] ?: return now
        val factor = share.rateFactor(now)
        if (limit.ownPerSecond * factor <= 0) return null
        val missing = urgency.neededTokens - limit.filled(factor, now).bucket.tokens
        val seconds = missing.coerceAtLeast(0.0) / (limit.ownPerSecond * factor)
        return now + Duration.ofNanos((seconds * NANOS_PER_SECOND).toLong())
    }

    /** A target among [targets] that was not heard of for a while; null if there is none. */
    internal fun firstUnchecked(targets: List<TargetId>, now: Instant): TargetId? =
        if (byTarget.isEmpty()) {
            null
        } else {
            targets.firstOrNull { id ->
                !isPaused(id, now) &&
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
        val gone = restricted.filter { it !in targets }
        if (gone.isEmpty()) return this
        return copy(byTarget = byTarget.minus(gone), pausedUntil = pausedUntil.minus(gone))
    }
}

private fun <V> PersistentMap<TargetId, V>.minus(ids: List<TargetId>): PersistentMap<TargetId, V> =
    ids.fold(this) { all, id -> all.remove(id) }
