package org.wisteriahinge.core.survey

import java.time.Duration
import java.time.Instant
import java.util.SplittableRandom
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentSet
import org.wisteriahinge.core.call.CallInProgress
import org.wisteriahinge.core.call.CallsState
import org.wisteriahinge.core.model.Execution
import org.wisteriahinge.core.model.LoadReport
import org.wisteriahinge.core.model.Refusal
import org.wisteriahinge.core.model.RefusalReason
import org.wisteriahinge.core.model.TargetId
import org.wisteriahinge.core.routing.TargetView

/** Share of its slots up to which a target works at its usual pace. */
private const val FIRST_ROUND_MAX_UTILIZATION = 0.8

/** A report older than this says nothing about a queue now. */
private val MAX_REPORT_AGE: Duration = Duration.ofMillis(100)

/** A caller that comes back after this delay or twice of it can still be answered in time. */
private const val SHORT_RETRY_DELAY_MILLIS = 30L

/** While most calls find no room, callers are to come back when the peak has moved on. */
private const val LONG_RETRY_DELAY_MILLIS = 250L

/** Share of calls without room from which a peak is taken to last. */
private const val SUSTAINED_OVERLOAD_SHARE = 0.5

private const val MAX_USUAL_PACE_PERCENT = 110
private const val USUAL_PACE_PERCENT = 100

/** What the reports of the targets that were asked say about room for a call. */
internal sealed interface SurveyVerdict {
    /** The targets [available] have room; nothing speaks against any target when there are none. */
    data class Capacity(val available: PersistentSet<TargetId>) : SurveyVerdict

    /** The targets [available] have room, but work takes longer than usual at each of them. */
    data class SlowCapacity(val available: PersistentSet<TargetId>) : SurveyVerdict

    /** None of them is known to have room, and some did not report. */
    data object Unknown : SurveyVerdict

    /** All of them have queues in which the call would miss its objective. */
    data object Full : SurveyVerdict
}

/** Judges by the reports of [probed]. Calls without an objective may always go. */
internal fun CallsState.verdict(
    call: CallInProgress,
    probed: Collection<TargetId>,
    round: SurveyRound,
    now: Instant
): SurveyVerdict {
    val views = probed.mapNotNull { routing.targets[it] }
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

/** Whether work takes about as long as usual, so that no other target is much better. */
internal fun LoadReport.isUsualPace(): Boolean =
    (pacePercent ?: USUAL_PACE_PERCENT) <= MAX_USUAL_PACE_PERCENT

private fun TargetView.hasRecentReport(now: Instant): Boolean =
    load?.let { it.observedAt + MAX_REPORT_AGE > now } == true

/** Targets slow down when they are nearly full; that is accepted when no other has room. */
private fun TargetView.hasCapacity(round: SurveyRound): Boolean {
    val report = load ?: return true
    val busy = maxOf(report.inFlight, inFlight)
    return when (round) {
        SurveyRound.First -> busy == 0 || busy + 1 <= report.slots * FIRST_ROUND_MAX_UTILIZATION
        SurveyRound.Second -> busy < report.slots
    }
}

/** Tells the caller to come back, soon where a place may become free in time for it. */
internal fun CallsState.fullRefusal(call: CallInProgress): Refusal {
    val draw = SplittableRandom(routing.seed xor call.request.callId.value)
    val sustained = surveys.fullShare(call.matched.service.id) > SUSTAINED_OVERLOAD_SHARE
    val minMillis = if (sustained) LONG_RETRY_DELAY_MILLIS else SHORT_RETRY_DELAY_MILLIS
    val delay = Duration.ofMillis(minMillis + draw.nextLong(minMillis))
    return Refusal(RefusalReason.Overloaded, Execution.NotRun, delay)
}
