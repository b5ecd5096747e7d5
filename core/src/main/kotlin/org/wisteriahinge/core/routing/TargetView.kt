package org.wisteriahinge.core.routing

import java.time.Instant
import org.wisteriahinge.core.availability.TargetHealth
import org.wisteriahinge.core.model.LoadReport
import org.wisteriahinge.core.model.ServiceId
import org.wisteriahinge.core.model.Target

/**
 * What this instance knows of a target. [inFlight] counts only its own requests.
 *
 * [otherInFlight] is the load of other instances in the newest report, [meanOtherInFlight] its mean.
 * [lastProgressAt] is when this instance last had an answer, or began to wait for one. [unresponsiveSince]
 * is set when a probe was not answered in time, until the next sign of life.
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
    /** Takes over [report] unless a newer one is known. */
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
 * A report may miss this many of the instance's own requests, which are on their way. One that
 * misses more is false, and the usual load is assumed instead.
 */
private const val REPORT_LAG_REQUESTS = 3

/** Weight of the newest report in the usual load. */
private const val LOAD_REPORT_WEIGHT = 0.1
