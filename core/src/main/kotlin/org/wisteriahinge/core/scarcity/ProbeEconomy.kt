package org.wisteriahinge.core.scarcity

import java.time.Instant
import java.util.SplittableRandom
import org.wisteriahinge.core.call.CallInProgress
import org.wisteriahinge.core.call.CallsState
import org.wisteriahinge.core.model.TargetId
import org.wisteriahinge.core.survey.SurveyPolicy
import org.wisteriahinge.core.survey.isUsualPace

/** Share of bad reports above which all targets of the first round are probed at once. */
private const val MANY_BAD_REPORTS = 0.4

/** Share of bad reports below which a target chosen without a probe is as good as a probed one. */
private const val FEW_BAD_REPORTS = 0.02

/** Reports from which the share of bad ones is known. */
private const val MIN_REPORTS = 4.0

/** Share of the calls that probe while there are few bad reports, so that a change is noticed. */
private const val SAMPLED_SHARE = 0.25

/** Records whether the newest report of [target] shows room at its usual pace. */
internal fun CallsState.recordProbeReport(target: TargetId, now: Instant): CallsState {
    val view = routing.targets[target] ?: return this
    val report = view.load ?: return this
    val busy = maxOf(report.inFlight, view.inFlight)
    val isBad = !isBelowUsualPaceLimit(busy, report.slots) || !report.isUsualPace()
    val next = scarcity.update(view.service) {
        it.copy(badReports = it.badReports.record(isBad, now))
    }
    return copy(scarcity = next)
}

/**
 * The targets to probe first for [call]: none while a chosen target is almost never bad, few while
 * a bad one is rare enough to be replaced after its report, else all of the first round.
 */
internal fun CallsState.firstTargets(
    call: CallInProgress,
    policy: SurveyPolicy.BeforeEach,
    now: Instant
): Int {
    val reports = scarcity.of(call.matched.service.id).badReports
    val share = reports.share(now)
    val isKnown = reports.count(now) >= MIN_REPORTS
    return when {
        // Permits of targets with rate limits are lost unless those targets are compared.
        routing.rateLimits.byTarget.isNotEmpty() || share > MANY_BAD_REPORTS -> policy.targets
        isKnown && share < FEW_BAD_REPORTS && !isSampled(call) -> 0
        else -> minOf(policy.firstTargets, policy.targets)
    }
}

private fun CallsState.isSampled(call: CallInProgress): Boolean =
    SplittableRandom(routing.seed xor call.request.callId.value).nextDouble() < SAMPLED_SHARE
