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
import org.wisteriahinge.core.model.Refusal
import org.wisteriahinge.core.model.RefusalReason
import org.wisteriahinge.core.model.TargetId
import org.wisteriahinge.core.routing.TargetView

/** Requests that may wait at a target for each of its slots; a longer queue misses objectives. */
private const val QUEUE_PER_SLOT = 1.0 / 3

/** A report older than this says nothing about a queue now. */
private val REPORT_COUNTS: Duration = Duration.ofMillis(100)

/** Callers that are refused come back between this delay and twice as late, not all at once. */
private const val RETRY_AFTER_MILLIS = 250L

/** What the reports of the targets that were asked say about room for a call. */
internal sealed interface SurveyVerdict {
    /** The targets [at] have room; nothing speaks against any target when there are none. */
    data class Room(val at: PersistentSet<TargetId>) : SurveyVerdict

    /** None of them is known to have room, and some did not report. */
    data object Unknown : SurveyVerdict

    /** All of them have queues in which the call would miss its objective. */
    data object Full : SurveyVerdict
}

/** Judges by the reports of [asked]. Calls without an objective may always go. */
internal fun CallsState.verdict(
    call: CallInProgress,
    asked: Collection<TargetId>,
    now: Instant
): SurveyVerdict {
    val views = asked.mapNotNull { routing.targets[it] }
    val known = views.filter { it.reportCounts(now) }
    val roomy = known.filter { it.hasRoom() }.map { it.target.id }.toPersistentSet()
    return when {
        call.matched.operation.bounds.objective == null -> SurveyVerdict.Room(persistentSetOf())
        views.all { it.load == null } -> SurveyVerdict.Room(persistentSetOf())
        roomy.isNotEmpty() -> SurveyVerdict.Room(roomy)
        known.size < views.size -> SurveyVerdict.Unknown
        else -> SurveyVerdict.Full
    }
}

private fun TargetView.reportCounts(now: Instant): Boolean =
    load?.let { it.observedAt + REPORT_COUNTS > now } == true

private fun TargetView.hasRoom(): Boolean {
    val report = load ?: return true
    val busy = maxOf(report.inFlight, inFlight)
    return busy < report.slots * (1 + QUEUE_PER_SLOT)
}

/** Tells the caller to come back when the peak may have moved on. */
internal fun CallsState.fullRefusal(call: CallInProgress): Refusal {
    val draw = SplittableRandom(routing.seed xor call.request.callId.value)
    val delay = Duration.ofMillis(RETRY_AFTER_MILLIS + draw.nextLong(RETRY_AFTER_MILLIS))
    return Refusal(RefusalReason.Overloaded, Execution.NotRun, delay)
}
