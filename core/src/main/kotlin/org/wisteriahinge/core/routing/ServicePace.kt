package org.wisteriahinge.core.routing

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.wisteriahinge.core.model.OperationId

/** Assumed answer time of a service before its first answer. */
private const val UNKNOWN_ANSWER_MILLIS = 20.0

/** Relative step of the running medians: fast enough to settle within about 100 answers. */
private const val MEDIAN_STEP = 0.03

/** Weight of the newest report in the mean reported pace. */
private const val REPORT_WEIGHT = 0.02

/** Answer times below this are not told apart. */
private const val SHORTEST_MILLIS = 0.1

/**
 * Usual answer times of a service: running medians over all its targets, so that a few slow
 * targets do not move them. [reported] is the mean pace that targets report; 1.0 is usual.
 */
public data class ServicePace(
    val millis: Double = UNKNOWN_ANSWER_MILLIS,
    val byOperation: PersistentMap<OperationId, Double> = persistentHashMapOf(),
    val reported: Double = 1.0
) {
    /** The usual answer time of [operation]. */
    public fun usualMillis(operation: OperationId): Double = byOperation[operation] ?: millis

    internal fun answered(operation: OperationId, tookMillis: Double): ServicePace {
        val took = tookMillis.coerceAtLeast(SHORTEST_MILLIS)
        val usual = byOperation[operation]?.movedTowards(took) ?: took
        return copy(
            millis = millis.movedTowards(took),
            byOperation = byOperation.put(operation, usual)
        )
    }

    internal fun reported(pace: Double): ServicePace =
        copy(reported = reported + REPORT_WEIGHT * (pace - reported))

    private fun Double.movedTowards(sample: Double): Double =
        if (sample > this) this * (1 + MEDIAN_STEP) else this / (1 + MEDIAN_STEP)
}
