package org.wisteriahinge.core.survey

import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentSet
import org.wisteriahinge.core.call.CallInProgress
import org.wisteriahinge.core.call.CallsState
import org.wisteriahinge.core.call.urgencyOf
import org.wisteriahinge.core.model.LoadReport
import org.wisteriahinge.core.model.TargetId
import org.wisteriahinge.core.routing.TargetView
import org.wisteriahinge.core.scarcity.RoomNeed
import org.wisteriahinge.core.scarcity.isBelowUsualPaceLimit
import org.wisteriahinge.core.scarcity.roomNeed

/** An older report does not describe the current queue of its target. */
private val MAX_REPORT_AGE: Duration = Duration.ofMillis(100)

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
    val need = roomNeed(call, now)
    val free = known.filter { it.hasCapacity(round, need) }
    val needed = when (round) {
        SurveyRound.First -> need.targets
        SurveyRound.Second -> minOf(need.targets, views.size)
    }
    val withCapacity = if (free.size >= needed) free else emptyList()
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
private fun TargetView.hasCapacity(round: SurveyRound, need: RoomNeed): Boolean {
    val report = load ?: return true
    val busy = maxOf(report.inFlight, inFlight)
    return when (round) {
        SurveyRound.First -> isBelowUsualPaceLimit(busy, report.slots)
        SurveyRound.Second -> need.hasRoom(busy, report.slots)
    }
}
