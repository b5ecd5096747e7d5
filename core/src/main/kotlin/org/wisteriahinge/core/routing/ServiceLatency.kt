package org.wisteriahinge.core.routing

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.wisteriahinge.core.model.OperationId

/** Median answer time that is assumed before the first answer of a service. */
private const val INITIAL_LATENCY_MILLIS = 20.0

/** Relative step of the running medians; they settle within about 100 answers. */
private const val MEDIAN_STEP = 0.03

/** Weight of the newest report in the moving average of the reported pace. */
private const val PACE_REPORT_WEIGHT = 0.02

/** Lower bound of samples; shorter answer times are not distinguished. */
private const val MIN_LATENCY_MILLIS = 0.1

/**
 * Running medians of the answer times of a service, overall and by operation.
 *
 * They cover all targets of the service, and as medians are not moved by a few slow targets.
 * [meanReportedPace] is the moving average of the pace in load reports, where 1.0 is normal speed
 * and 2.0 means that work takes twice as long.
 */
public data class ServiceLatency(
    val overallMedianMillis: Double = INITIAL_LATENCY_MILLIS,
    val byOperation: PersistentMap<OperationId, Double> = persistentHashMapOf(),
    val meanReportedPace: Double = 1.0
) {
    /** The median answer time of [operation]; the overall one until its first answer. */
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
