package org.wisteriahinge.core.quarantine

import java.time.Duration
import java.time.Instant
import org.wisteriahinge.core.call.AttemptFailure
import org.wisteriahinge.core.call.CallCounter
import org.wisteriahinge.core.call.CallEffect
import org.wisteriahinge.core.call.CallEnd
import org.wisteriahinge.core.call.CallInProgress
import org.wisteriahinge.core.call.CallsDecision
import org.wisteriahinge.core.call.CallsState
import org.wisteriahinge.core.call.StageOutcome
import org.wisteriahinge.core.call.TraceStep
import org.wisteriahinge.core.model.Execution
import org.wisteriahinge.core.model.Refusal
import org.wisteriahinge.core.model.RefusalReason

/** Retry delay of a suspected request while another call of this instance runs it. */
private val RETRY_AFTER_OTHER_RUN: Duration = Duration.ofSeconds(1)

/** Refuses a quarantined request, and a suspected one that may be running in another call. */
internal fun CallsState.enterQuarantine(call: CallInProgress, now: Instant): StageOutcome {
    val unchanged = CallsDecision(this)
    val (key, suspect) = suspectOf(call, now) ?: return StageOutcome.Passed(unchanged)
    val wait = when {
        suspect.quarantined -> Duration.between(now, suspect.until)
        quarantine.settings.exclusivePeriod.isZero -> return StageOutcome.Passed(unchanged)
        suspect.peerRunUntil > now -> Duration.between(now, suspect.peerRunUntil)
        runsInAnotherCall(call, key) -> RETRY_AFTER_OTHER_RUN
        else -> return StageOutcome.Passed(report(key, now))
    }
    return StageOutcome.Refused(unchanged, quarantineRefusal(call, wait))
}

/** The suspect that [call] is, the quarantined one of several; null if it is none. */
private fun CallsState.suspectOf(call: CallInProgress, now: Instant): KnownSuspect? =
    suspectsOf(call, now).let { all ->
        all.firstOrNull { it.suspect.quarantined }
            ?: all.firstOrNull()
    }

/** All suspects that [call] is; its keys are computed only if there are any suspects. */
private fun CallsState.suspectsOf(call: CallInProgress, now: Instant): List<KnownSuspect> {
    if (quarantine.suspects.isEmpty()) return emptyList()
    return call.suspectKeys.mapNotNull { key ->
        quarantine.suspect(key, now)?.let { KnownSuspect(key, it) }
    }
}

private data class KnownSuspect(val key: SuspectKey, val suspect: Suspect)

/**
 * Callers of open routes send a request again only after a status that promises that it did not
 * run, so that they get 503 instead of a client error.
 */
private fun quarantineRefusal(call: CallInProgress, wait: Duration): Refusal {
    val reason = if (call.caller.isOpen) {
        RefusalReason.CrashesServers
    } else {
        RefusalReason.Quarantined
    }
    return Refusal(reason, Execution.NotRun, wait)
}

/** The refusal of [call], which waited while its request was quarantined; null if it was not. */
internal fun CallsState.refusalIfQuarantined(call: CallInProgress, now: Instant): Refusal? {
    val suspect = suspectOf(call, now)?.suspect?.takeIf { it.quarantined } ?: return null
    return quarantineRefusal(call, Duration.between(now, suspect.until))
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
    CallEnd.Answered ->
        if (call.wasCutOff()) {
            CallsDecision(this)
        } else {
            copy(quarantine = quarantine.withoutUnverified(call).withAnswered(call, now))
                .clearSuspects(call, now)
        }
    is CallEnd.Refused, is CallEnd.CallerGone -> CallsDecision(this)
}

/** Whether the delivered answer ended early, as it does when the server crashes. */
private fun CallInProgress.wasCutOff(): Boolean =
    (steps.lastOrNull() as? TraceStep.Failed)?.failure == AttemptFailure.Truncated

private fun QuarantineState.withAnswered(call: CallInProgress, now: Instant): QuarantineState {
    if (!call.caller.isOpen) return this
    val fingerprint = call.request.content?.fingerprint() ?: return this
    return copy(answered = answered.add(fingerprint, now))
}

private fun CallsState.clearSuspects(call: CallInProgress, now: Instant): CallsDecision =
    suspectsOf(call, now).filterNot { it.suspect.quarantined }
        .fold(CallsDecision(this)) { decision, known -> decision.then { it.clearSuspect(known) } }

private fun CallsState.clearSuspect(known: KnownSuspect): CallsDecision {
    val cleared = copy(quarantine = quarantine.remove(known.key))
    return when (val key = known.key) {
        is SuspectKey.OfCustomer -> cleared.withdrawReport(key)
        is SuspectKey.OfContent -> cleared.shareClearance(key, known.suspect)
    }
}

/** Whether the request of [call] is suspected of crashing backend servers. */
internal fun CallsState.isSuspected(call: CallInProgress, now: Instant): Boolean =
    suspectOf(call, now) != null

/** Whether the request of [call] is quarantined, so that it may not be sent again. */
internal fun CallsState.isQuarantined(call: CallInProgress, now: Instant): Boolean =
    suspectOf(call, now)?.suspect?.quarantined == true

/**
 * Counts the crash of one backend server while it ran the requests of [crashes]. Several requests
 * with the same key, which ran there at the same time, are one crash of that key.
 */
internal fun CallsState.recordCrashes(crashes: List<UnverifiedCrash>, now: Instant): CallsDecision {
    val counted = crashes.fold(CallsDecision(this)) { decision, crash ->
        decision.emit(CallEffect.Count(CallCounter.CrashSuspected(crash.service)))
    }
    return crashes.flatMap { it.keys }.distinct().fold(counted) { decision, key ->
        decision.then { it.recordCrash(key, now) }
    }
}

private fun CallsState.recordCrash(key: SuspectKey, now: Instant): CallsDecision {
    val known = quarantine.suspectOrNew(key, now)
    val counted = known.copy(
        ownCrashes = known.ownCrashes + 1,
        until = maxOf(known.until, now + quarantine.settings.suspicionPeriod)
    )
    return copy(quarantine = quarantine.put(key, counted, now)).report(key, now)
}

private fun CallsState.report(key: SuspectKey, now: Instant): CallsDecision {
    val suspect = quarantine.suspectOrNew(key, now)
    return when (key) {
        is SuspectKey.OfCustomer -> reportSuspect(key, suspect, now)
        is SuspectKey.OfContent -> shareCrashes(key, suspect)
    }
}
