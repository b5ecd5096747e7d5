package org.wisteriahinge.core.ratelimit

import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.wisteriahinge.core.model.RateLimitReport
import org.wisteriahinge.core.model.TargetId

/**
 * Time for which a limit stays in force after it was last named. Answers arrive out of order, so
 * that an older one without the limit may follow a newer one with it.
 */
private val HOLD_TIME: Duration = Duration.ofSeconds(1)

/** The rate limits that targets name in their answers. */
public data class RateLimits(
    val byTarget: PersistentMap<TargetId, TargetRateLimit> = persistentHashMapOf()
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

    private fun named(target: TargetId, requestsPerSecond: Double, now: Instant): RateLimits =
        copy(byTarget = byTarget.put(target, TargetRateLimit(requestsPerSecond, now)))

    /** These limits without those of targets that are not in [targets]. */
    internal fun retaining(targets: Set<TargetId>): RateLimits {
        val gone = byTarget.keys.filter { it !in targets }
        return if (gone.isEmpty()) this else copy(byTarget = byTarget.minus(gone))
    }
}

private fun PersistentMap<TargetId, TargetRateLimit>.minus(ids: List<TargetId>) =
    ids.fold(this) { all, id -> all.remove(id) }
