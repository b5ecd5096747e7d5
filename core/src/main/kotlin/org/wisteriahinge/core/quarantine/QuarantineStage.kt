package org.wisteriahinge.core.quarantine

import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.persistentListOf
import org.wisteriahinge.core.call.CallCounter
import org.wisteriahinge.core.call.CallEffect
import org.wisteriahinge.core.call.CallEnd
import org.wisteriahinge.core.call.CallInProgress
import org.wisteriahinge.core.call.CallsDecision
import org.wisteriahinge.core.call.CallsState
import org.wisteriahinge.core.call.StageOutcome
import org.wisteriahinge.core.model.Execution
import org.wisteriahinge.core.model.Refusal
import org.wisteriahinge.core.model.RefusalReason

/** Retry delay of a suspected request while another call of this instance runs it. */
private val RETRY_AFTER_OTHER_RUN: Duration = Duration.ofSeconds(1)

/** Refuses a quarantined request, and a suspected one that may be running in another call. */
internal fun CallsState.enterQuarantine(call: CallInProgress, now: Instant): StageOutcome {
    val unchanged = CallsDecision(this)
    val key = call.suspectKey
    val suspect = quarantine.suspect(key, now) ?: return StageOutcome.Passed(unchanged)
    val wait = when {
        suspect.quarantined -> Duration.between(now, suspect.until)
        suspect.peerRunUntil > now -> Duration.between(now, suspect.peerRunUntil)
        runsInAnotherCall(call, key) -> RETRY_AFTER_OTHER_RUN
        else -> return StageOutcome.Passed(reportSuspect(key, suspect, now))
    }
    val refusal = Refusal(RefusalReason.Quarantined, Execution.NotRun, wait)
    return StageOutcome.Refused(unchanged, refusal)
}

// The scan of all calls is done only for suspected requests.
private fun CallsState.runsInAnotherCall(call: CallInProgress, key: SuspectKey): Boolean =
    calls.values.any { it.request.callId != call.request.callId && it.suspectKey == key }

/** Clears the suspicion of an answered request, which evidently does not crash backend servers. */
internal fun CallsState.leaveQuarantine(
    call: CallInProgress,
    end: CallEnd,
    now: Instant
): CallsDecision = when (end) {
    CallEnd.Answered -> clearSuspect(call, now)
    is CallEnd.Refused, is CallEnd.CallerGone -> CallsDecision(this)
}

private fun CallsState.clearSuspect(call: CallInProgress, now: Instant): CallsDecision {
    val key = call.suspectKey
    val suspect = quarantine.suspect(key, now) ?: return CallsDecision(this)
    if (suspect.quarantined) return CallsDecision(this)
    val cleared = copy(quarantine = quarantine.remove(key))
    return CallsDecision(cleared).emit(
        CallEffect.ReportQuarantine(persistentListOf(key.notice(crashes = 0, Instant.EPOCH)))
    )
}

/** Whether the request of [call] is suspected of crashing backend servers. */
internal fun CallsState.isSuspected(call: CallInProgress, now: Instant): Boolean =
    quarantine.suspects.isNotEmpty() && quarantine.suspect(call.suspectKey, now) != null

/** Whether the request of [call] is quarantined, so that it may not be sent again. */
internal fun CallsState.isQuarantined(call: CallInProgress, now: Instant): Boolean =
    quarantine.suspects.isNotEmpty() &&
        quarantine.suspect(call.suspectKey, now)?.quarantined == true

/** Records that a backend server closed its connection while it ran the request of [call]. */
internal fun CallsState.recordCrash(call: CallInProgress, now: Instant): CallsDecision {
    val key = call.suspectKey
    val known = quarantine.suspectOrNew(key, now)
    val counted = known.copy(
        ownCrashes = known.ownCrashes + 1,
        until = maxOf(known.until, now + quarantine.settings.suspicionPeriod)
    )
    val next = copy(quarantine = quarantine.put(key, counted, now))
    return CallsDecision(next)
        .emit(CallEffect.Count(CallCounter.CrashSuspected(call.matched.service.id)))
        .then { it.reportSuspect(key, it.quarantine.suspectOrNew(key, now), now) }
}
