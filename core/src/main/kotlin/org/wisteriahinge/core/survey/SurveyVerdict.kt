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
private const val COMFORTABLE_SHARE = 0.8

/** A report older than this says nothing about a queue now. */
private val REPORT_COUNTS: Duration = Duration.ofMillis(100)

/** A caller that comes back after this delay or twice of it can still be answered in time. */
private const val SOON_MILLIS = 30L

/** While most calls find no room, callers are to come back when the peak has moved on. */
private const val LATER_MILLIS = 250L

/** Share of calls without room from which a peak is taken to last. */
private const val LASTING_SHARE = 0.5

private const val GOOD_PACE_PERCENT = 110
private const val USUAL_PACE_PERCENT = 100

/** What the reports of the targets that were asked say about room for a call. */
internal sealed interface SurveyVerdict {
    /** The targets [at] have room; nothing speaks against any target when there are none. */
    data class Room(val at: PersistentSet<TargetId>) : SurveyVerdict

    /** The targets [at] have room, but work takes longer than usual at each of them. */
    data class SlowRoom(val at: PersistentSet<TargetId>) : SurveyVerdict

    /** None of them is known to have room, and some did not report. */
    data object Unknown : SurveyVerdict

    /** All of them have queues in which the call would miss its objective. */
    data object Full : SurveyVerdict
}

/** Judges by the reports of [asked]. Calls without an objective may always go. */
internal fun CallsState.verdict(
    call: CallInProgress,
    asked: Collection<TargetId>,
    round: SurveyRound,
    now: Instant
): SurveyVerdict {
    val views = asked.mapNotNull { routing.targets[it] }
    val known = views.filter { it.reportCounts(now) }
    val roomy = known.filter { it.hasRoom(round) }
    val at = roomy.map { it.target.id }.toPersistentSet()
    return when {
        call.matched.operation.bounds.objective == null -> SurveyVerdict.Room(persistentSetOf())
        views.all { it.load == null } -> SurveyVerdict.Room(persistentSetOf())
        roomy.any { it.load?.isUsualPace() != false } -> SurveyVerdict.Room(at)
        roomy.isNotEmpty() -> SurveyVerdict.SlowRoom(at)
        known.size < views.size -> SurveyVerdict.Unknown
        else -> SurveyVerdict.Full
    }
}

/** Whether work takes about as long as usual, so that no other target is much better. */
internal fun LoadReport.isUsualPace(): Boolean =
    (pacePercent ?: USUAL_PACE_PERCENT) <= GOOD_PACE_PERCENT

private fun TargetView.reportCounts(now: Instant): Boolean =
    load?.let { it.observedAt + REPORT_COUNTS > now } == true

/** Targets slow down when they are nearly full; that is accepted when no other has room. */
private fun TargetView.hasRoom(round: SurveyRound): Boolean {
    val report = load ?: return true
    val busy = maxOf(report.inFlight, inFlight)
    return when (round) {
        SurveyRound.First -> busy == 0 || busy + 1 <= report.slots * COMFORTABLE_SHARE
        SurveyRound.Second -> busy < report.slots
    }
}

/** Tells the caller to come back, soon where a place may become free in time for it. */
internal fun CallsState.fullRefusal(call: CallInProgress): Refusal {
    val draw = SplittableRandom(routing.seed xor call.request.callId.value)
    val lasting = surveys.fullShare(call.matched.service.id) > LASTING_SHARE
    val least = if (lasting) LATER_MILLIS else SOON_MILLIS
    val delay = Duration.ofMillis(least + draw.nextLong(least))
    return Refusal(RefusalReason.Overloaded, Execution.NotRun, delay)
}
