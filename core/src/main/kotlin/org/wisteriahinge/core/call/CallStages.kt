package org.wisteriahinge.core.call

import java.time.Instant
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import org.wisteriahinge.core.admission.enterAdmission
import org.wisteriahinge.core.admission.enterHeadroom
import org.wisteriahinge.core.admission.leaveAdmission
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.quarantine.enterQuarantine
import org.wisteriahinge.core.quarantine.leaveQuarantine
import org.wisteriahinge.core.quota.enterQuota
import org.wisteriahinge.core.quota.leaveQuota
import org.wisteriahinge.core.survey.enterSurvey
import org.wisteriahinge.core.survey.leaveSurvey

/** Runs all stages of the call and starts its first attempt, unless a stage stops the call. */
internal fun CallsState.runStages(callId: CallId, now: Instant): CallsDecision =
    runStages(callId, callStages, now)

/** Resumes a call that [stage] suspended. Does nothing if the call is not waiting at [stage]. */
internal fun CallsState.resumeAfter(stage: CallStage, callId: CallId, now: Instant): CallsDecision {
    val call = calls[callId] ?: return CallsDecision(this)
    if (call.waitingAt != stage) return CallsDecision(this)
    val remaining = callStages.dropWhile { it != stage }.drop(1).toPersistentList()
    return withCall(call.copy(waitingAt = null)).runStages(callId, remaining, now)
}

/** Releases what [call] holds at each stage. Stages that it did not reach do nothing. */
internal fun CallsState.leaveStages(call: CallInProgress, end: CallEnd, now: Instant) =
    callStages.fold(CallsDecision(this)) { decision, stage ->
        decision.then { it.leave(stage, call, end, now) }
    }

private fun CallsState.runStages(
    callId: CallId,
    stages: PersistentList<CallStage>,
    now: Instant
): CallsDecision {
    val call = calls[callId] ?: return CallsDecision(this)
    val stage = stages.firstOrNull() ?: return startAttempt(call, now)
    return when (val outcome = enter(stage, call, now)) {
        is StageOutcome.Passed ->
            outcome.decision.then { it.runStages(callId, stages.removeAt(0), now) }
        is StageOutcome.Refused ->
            outcome.decision.then { it.refuse(callId, outcome.refusal, now) }
        is StageOutcome.Suspended ->
            outcome.decision.update { it.waitAt(stage, callId) }
    }
}

private fun CallsState.waitAt(stage: CallStage, callId: CallId): CallsState =
    calls[callId]?.let { withCall(it.copy(waitingAt = stage)) } ?: this

private fun CallsState.enter(stage: CallStage, call: CallInProgress, now: Instant): StageOutcome =
    when (stage) {
        CallStage.Quarantine -> enterQuarantine(call, now)
        CallStage.Headroom -> enterHeadroom(call, now)
        CallStage.Quota -> enterQuota(call, now)
        CallStage.Claim -> enterClaim(call)
        CallStage.Limits -> enterLimits(call, now)
        CallStage.Admission -> enterAdmission(call, now)
        CallStage.Survey -> enterSurvey(call, now)
    }

private fun CallsState.leave(
    stage: CallStage,
    call: CallInProgress,
    end: CallEnd,
    now: Instant
): CallsDecision = when (stage) {
    CallStage.Quarantine -> leaveQuarantine(call, end, now)
    CallStage.Headroom -> CallsDecision(this)
    CallStage.Quota -> leaveQuota(call, end, now)
    CallStage.Claim -> leaveClaim(call, end)
    CallStage.Limits -> leaveLimits(call)
    CallStage.Admission -> leaveAdmission(call, end, now)
    CallStage.Survey -> leaveSurvey(call)
}
