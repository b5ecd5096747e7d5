package org.wisteriahinge.core.routing

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.wisteriahinge.core.model.OperationId

/** Assumed answer time of a service before its first answer. */
private const val INITIAL_LATENCY_MILLIS = 20.0

/** Relative step of the running medians: fast enough to settle within about 100 answers. */
private const val MEDIAN_STEP = 0.03

/** Weight of the newest report in the mean reported pace. */
private const val PACE_REPORT_WEIGHT = 0.02

/** Answer times below this are not told apart. */
private const val MIN_LATENCY_MILLIS = 0.1

/**
 * Usual answer times of a service: running medians over all its targets, so that a few slow
 * targets do not move them. [meanReportedPace] is the mean pace that targets report; 1.0 is usual.
 */
public data class ServiceLatency(
    val overallMedianMillis: Double = INITIAL_LATENCY_MILLIS,
    val byOperation: PersistentMap<OperationId, Double> = persistentHashMapOf(),
    val meanReportedPace: Double = 1.0
) {
    /** The usual answer time of [operation]. */
    public fun medianMillis(operation: OperationId): Double =
        byOperation[operation] ?: overallMedianMillis

    internal fun withSample(operation: OperationId, elapsedMillis: Double): ServiceLatency {
        val sample = elapsedMillis.coerceAtLeast(MIN_LATENCY_MILLIS)
        val median = byOperation[operation]?.steppedTowards(sample) ?: sample
        return copy(
            overallMedianMillis = overallMedianMillis.steppedTowards(sample),
            byOperation = byOperation.put(operation, median)
        )
    }

    internal fun withReportedPace(pace: Double): ServiceLatency =
        copy(meanReportedPace = meanReportedPace + PACE_REPORT_WEIGHT * (pace - meanReportedPace))

    private fun Double.steppedTowards(sample: Double): Double =
        if (sample > this) this * (1 + MEDIAN_STEP) else this / (1 + MEDIAN_STEP)
}
