package org.wisteriahinge.core.routing

import java.time.Instant
import org.wisteriahinge.core.availability.TargetHealth
import org.wisteriahinge.core.model.LoadReport
import org.wisteriahinge.core.model.ServiceId
import org.wisteriahinge.core.model.Target

/**
 * The state of a target as this instance knows it.
 *
 * [inFlight] counts the requests of this instance. [otherInFlight] counts those of other instances
 * by the newest load report, and [meanOtherInFlight] is its moving average. [lastProgressAt] is
 * when a result last arrived, or when an idle target got a request. [unresponsiveSince] is set
 * when a probe times out, and cleared by the next answer or load report.
 */
public data class TargetView(
    val service: ServiceId,
    val target: Target,
    val inFlight: Int = 0,
    val load: LoadReport? = null,
    val otherInFlight: Double = 0.0,
    val meanOtherInFlight: Double = 0.0,
    val lastProgressAt: Instant = Instant.EPOCH,
    val health: TargetHealth = TargetHealth(),
    val unresponsiveSince: Instant? = null
) {
    /** Updates the load by [report] unless a newer one is known. */
    internal fun withReport(report: LoadReport): TargetView {
        val known = load
        if (known != null && known.observedAt >= report.observedAt) return this
        if (report.inFlight + REPORT_LAG_REQUESTS < inFlight) {
            return copy(load = null, unresponsiveSince = null)
        }
        val seen = (report.inFlight - inFlight).coerceAtLeast(0).toDouble()
        val mean = meanOtherInFlight + LOAD_REPORT_WEIGHT * (seen - meanOtherInFlight)
        return copy(
            load = report,
            otherInFlight = seen,
            meanOtherInFlight = mean,
            unresponsiveSince = null
        )
    }
}

/**
 * A report may miss this many requests of this instance that are still on their way to the target.
 * One that misses more is wrong, and the mean load is assumed instead.
 */
private const val REPORT_LAG_REQUESTS = 3

/** Weight of the newest report in the moving average. */
private const val LOAD_REPORT_WEIGHT = 0.1
