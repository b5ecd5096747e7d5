package org.wisteriahinge.core.survey

import java.time.Duration
import java.time.Instant
import java.util.SplittableRandom
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentSet
import org.wisteriahinge.core.call.CallInProgress
import org.wisteriahinge.core.call.CallsState
import org.wisteriahinge.core.call.urgencyOf
import org.wisteriahinge.core.model.Execution
import org.wisteriahinge.core.model.LoadReport
import org.wisteriahinge.core.model.Refusal
import org.wisteriahinge.core.model.RefusalReason
import org.wisteriahinge.core.model.TargetId
import org.wisteriahinge.core.routing.TargetView

/** Utilization of its slots up to which a target works at its usual pace. */
private const val FIRST_ROUND_MAX_UTILIZATION = 0.8

/** An older report does not describe the current queue of its target. */
private val MAX_REPORT_AGE: Duration = Duration.ofMillis(100)

/** Callers that retry after this delay, or up to twice of it, can still be answered in time. */
private const val SHORT_RETRY_DELAY_MILLIS = 30L

/** Delay while most calls find no capacity, so that callers retry after the peak. */
private const val LONG_RETRY_DELAY_MILLIS = 250L

/** Share of calls without capacity above which a peak is expected to last. */
private const val SUSTAINED_OVERLOAD_SHARE = 0.5

private const val MAX_USUAL_PACE_PERCENT = 110
private const val USUAL_PACE_PERCENT = 100

/** What the load reports of the probed targets say about capacity for a call. */
internal sealed interface SurveyVerdict {
    /** The targets [available] have capacity; if empty, any target may be chosen. */
    data class Capacity(val available: PersistentSet<TargetId>) : SurveyVerdict

    /** The targets [available] have capacity, but each of them works slower than usual. */
    data class SlowCapacity(val available: PersistentSet<TargetId>) : SurveyVerdict

    /**
     * No target is known to have capacity, and some have no recent report or a rate limit that
     * allows no request.
     */
    data object Unknown : SurveyVerdict

    /** The call would miss its objective in the queue of each target. */
    data object Full : SurveyVerdict
}

/** Evaluates the load reports of [probed]. Calls without an objective always pass. */
internal fun CallsState.verdict(
    call: CallInProgress,
    probed: Collection<TargetId>,
    round: SurveyRound,
    now: Instant
): SurveyVerdict {
    val urgency = urgencyOf(call)
    val permitted = probed.filter { routing.rateLimits.permits(it, urgency, now) }
    if (permitted.isEmpty() && probed.isNotEmpty()) return SurveyVerdict.Unknown
    val views = permitted.mapNotNull { routing.targets[it] }
    val known = views.filter { it.hasRecentReport(now) }
    val withCapacity = known.filter { it.hasCapacity(round) }
    val available = withCapacity.map { it.target.id }.toPersistentSet()
    return when {
        call.matched.operation.bounds.objective == null -> SurveyVerdict.Capacity(persistentSetOf())
        views.all { it.load == null } -> SurveyVerdict.Capacity(persistentSetOf())
        withCapacity.any { it.load?.isUsualPace() != false } -> SurveyVerdict.Capacity(available)
        withCapacity.isNotEmpty() -> SurveyVerdict.SlowCapacity(available)
        known.size < views.size -> SurveyVerdict.Unknown
        else -> SurveyVerdict.Full
    }
}

/** Whether requests take about as long as usual, so that no other target is much faster. */
internal fun LoadReport.isUsualPace(): Boolean =
    (pacePercent ?: USUAL_PACE_PERCENT) <= MAX_USUAL_PACE_PERCENT

private fun TargetView.hasRecentReport(now: Instant): Boolean =
    load?.let { it.observedAt + MAX_REPORT_AGE > now } == true

/** Nearly full targets are slower; the second round accepts them because no other has capacity. */
private fun TargetView.hasCapacity(round: SurveyRound): Boolean {
    val report = load ?: return true
    val busy = maxOf(report.inFlight, inFlight)
    return when (round) {
        SurveyRound.First -> busy == 0 || busy + 1 <= report.slots * FIRST_ROUND_MAX_UTILIZATION
        SurveyRound.Second -> busy < report.slots
    }
}

/** Refusal with a random delay, short if a slot may become free in time, long in a lasting peak. */
internal fun CallsState.fullRefusal(call: CallInProgress): Refusal {
    val draw = SplittableRandom(routing.seed xor call.request.callId.value)
    val sustained = surveys.fullShare(call.matched.service.id) > SUSTAINED_OVERLOAD_SHARE
    val minMillis = if (sustained) LONG_RETRY_DELAY_MILLIS else SHORT_RETRY_DELAY_MILLIS
    val delay = Duration.ofMillis(minMillis + draw.nextLong(minMillis))
    return Refusal(RefusalReason.Overloaded, Execution.NotRun, delay)
}
