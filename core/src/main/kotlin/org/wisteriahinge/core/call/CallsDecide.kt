package org.wisteriahinge.core.call

import com.github.michaelbull.result.mapBoth
import java.time.Duration
import java.time.Instant
import org.wisteriahinge.core.admission.LongCallQuota
import org.wisteriahinge.core.admission.dispatchQueued
import org.wisteriahinge.core.admission.refuseExpired
import org.wisteriahinge.core.handover.observePath
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.Configuration
import org.wisteriahinge.core.model.Execution
import org.wisteriahinge.core.model.ListedTargets
import org.wisteriahinge.core.model.Refusal
import org.wisteriahinge.core.model.RefusalReason
import org.wisteriahinge.core.quarantine.crashesCleared
import org.wisteriahinge.core.quarantine.crashesShared
import org.wisteriahinge.core.quarantine.quarantineReported
import org.wisteriahinge.core.quarantine.serverChecked
import org.wisteriahinge.core.quarantine.summarizeQuarantine
import org.wisteriahinge.core.routing.membersChanged
import org.wisteriahinge.core.routing.peerReported
import org.wisteriahinge.core.survey.continueSurveys
import org.wisteriahinge.core.survey.endExpiredSurveys

/** Retry delay of [RefusalReason.NotReady]: an instance reads its first configuration within it. */
private val RETRY_AFTER_NOT_READY: Duration = Duration.ofMillis(300)

/** Retry delay of [RefusalReason.ConfigurationTooOld]; callers retry at other instances. */
private val RETRY_AFTER_TOO_OLD: Duration = Duration.ofMillis(250)

/** Decides on [event] at [now]. A pure function: it reads no clock and performs no I/O. */
public fun CallsState.decide(event: CallEvent, now: Instant): CallsDecision =
    observeStatement(event, now)
        .then { it.observePath(event, now) }
        .then { it.decideEvent(event, now) }
        .then { it.dispatchQueued(now) }

private fun CallsState.decideEvent(event: CallEvent, now: Instant): CallsDecision = when (event) {
    is CallEvent.Arrived ->
        holdUntilReady(event.request, now) ?: arrive(event.request, now)
    is CallEvent.AttemptEvent -> decideAttempt(event, now)
    is CallEvent.CallerGone -> callerGone(event.callId, now)
    is CallEvent.LoadReported ->
        CallsDecision(copy(routing = routing.loadReported(event.targetId, event.load)))
            .then { it.continueSurveys(event.targetId, now) }
    is CallEvent.CrashEvent -> decideCrash(event, now)
    is CallEvent.ProbeFailed ->
        probeFailed(event.target).then { it.continueSurveys(event.target, now) }
    is CallEvent.PeerLoads ->
        CallsDecision(copy(routing = routing.peerReported(event.loads, now)))
    is CallEvent.MembersChanged -> membersChanged(event)
    is CallEvent.DutyDecision -> onDutyDecision(event, now)
    is CallEvent.ClocksCompared ->
        CallsDecision(copy(keyTrust = keyTrust.copy(timeOfDayLead = event.timeOfDayLead)))
    CallEvent.Ticked -> ticked(now)
}

private fun CallsState.decideAttempt(event: CallEvent.AttemptEvent, now: Instant): CallsDecision =
    when (event) {
        is CallEvent.Answered -> attemptAnswered(event, now)
        is CallEvent.AttemptFailed -> attemptFailed(event, now)
        is CallEvent.Completed ->
            stepAttempt(event.callId, event.attemptId, AttemptTrigger.Completed, now)
        is CallEvent.Truncated ->
            stepAttempt(event.callId, event.attemptId, AttemptTrigger.Truncated, now)
    }

private fun CallsState.decideCrash(event: CallEvent.CrashEvent, now: Instant): CallsDecision =
    when (event) {
        is CallEvent.QuarantineReported -> quarantineReported(event, now)
        is CallEvent.ServerChecked -> serverChecked(event, now)
        is CallEvent.CrashesShared -> crashesShared(event, now)
        is CallEvent.CrashesCleared -> crashesCleared(event, now)
    }

private fun CallsState.onDutyDecision(event: CallEvent.DutyDecision, now: Instant): CallsDecision =
    when (event) {
        is CallEvent.Configured ->
            configured(event.configuration).then { it.releaseHeld(now) }
        is CallEvent.ConfigurationConfirmed ->
            CallsDecision(copy(keyTrust = keyTrust.confirmed(event.moment)))
                .then { it.releaseHeld(now) }
        is CallEvent.TargetsListed ->
            targetsListed(event.targets).then { it.releaseHeld(now) }
        is CallEvent.ZonesEvacuated -> copy(evacuated = event.zones).withListedTargets()
        is CallEvent.ClaimSettled -> claimSettled(event, now)
        is CallEvent.SharesChanged -> CallsDecision(sharesChanged(event, now))
        is CallEvent.AnswerCaptured -> CallsDecision(answerCaptured(event))
        is CallEvent.RateLimitShareChanged -> rateLimitShareChanged(event.share, now)
        is CallEvent.PeersListed ->
            CallsDecision(copy(handover = handover.listed(event.peers)))
    }

private fun CallsState.membersChanged(event: CallEvent.MembersChanged): CallsDecision {
    val quota = LongCallQuota.among(event.live, event.self)
    return CallsDecision(
        copy(
            admission = admission.copy(longCallQuota = quota),
            limits = limits.copy(liveInstances = event.live.size),
            routing = routing.membersChanged(event.self, event.live)
        )
    )
}

private fun CallsState.configured(next: Configuration): CallsDecision =
    if (next.revision <= configuration.revision) {
        CallsDecision(this)
    } else {
        copy(configuration = next).withListedTargets()
    }

private fun CallsState.targetsListed(targets: ListedTargets): CallsDecision =
    copy(listed = targets).withListedTargets()

private fun CallsState.withListedTargets(): CallsDecision {
    val own = configuration.entitlements
    val entitlements = listed?.let { own.withTargets(it.outside(evacuated)) } ?: own
    val next = copy(
        configuration = configuration.copy(entitlements = entitlements),
        routing = routing.configured(entitlements),
        mostUrgent = mostUrgentOf(entitlements, configuration.keyed)
    )
    return next.announceIfChanged(before = routing.rateLimits)
}

internal fun CallsState.arrive(request: CallRequest, now: Instant): CallsDecision {
    request.handover?.let { return arriveHandedOver(request, it, now) }
    val route = configuration.routeOf(request)
    return if (route == null) arriveWithPlan(request, now) else arriveOpen(request, route, now)
}

private fun CallsState.arriveWithPlan(request: CallRequest, now: Instant): CallsDecision =
    configuration.check(request, now).mapBoth(
        success = { checked -> admit(request, checked, now) },
        failure = { reason -> refuseOnArrival(request, reason.refusal(), now) }
    )

internal fun RefusalReason.refusal(): Refusal {
    val retryAfter = when {
        this == RefusalReason.NotReady -> RETRY_AFTER_NOT_READY
        this == RefusalReason.ConfigurationTooOld -> RETRY_AFTER_TOO_OLD
        else -> null
    }
    return Refusal(this, Execution.NotRun, retryAfter)
}

/** Registers a call that passed every check and runs its stages. */
internal fun CallsState.admit(
    request: CallRequest,
    checked: CheckedCall,
    now: Instant
): CallsDecision {
    val call = CallInProgress(request, checked.caller, checked.matched)
    return withCall(call).runStages(request.callId, now)
        .then { it.checkRateLimit(checked.matched.service.id, now) }
}

/** Ends a call without an attempt in progress with [refusal] and removes it from the state. */
internal fun CallsState.refuse(callId: CallId, refusal: Refusal, now: Instant): CallsDecision =
    endCall(callId, CallEnd.Refused(refusal), now)
        .emit(CallEffect.Count(CallCounter.Refused(refusal.reason)))
        .emit(CallEffect.Refuse(callId, refusal))

private fun CallsState.ticked(now: Instant): CallsDecision = summarizeQuarantine(now)
    .then { it.refuseExpired(now) }
    .then { it.refuseExpiredHeld(now) }
    .then { it.endExpiredSurveys(now) }
    .then { it.startHedges(now) }
    .then { it.reportDemand(now) }
    .then { it.sendDueProbes(now) }
    .then { it.publishLoads(now) }

private fun CallsState.callerGone(callId: CallId, now: Instant): CallsDecision {
    held.byId[callId]?.let { return dropHeldCall(it) }
    val call = calls[callId] ?: return CallsDecision(this)
    val abandoned = call.attempts.keys.fold(CallsDecision(this)) { decision, attemptId ->
        decision.then { it.stepAttempt(callId, attemptId, AttemptTrigger.Abandoned, now) }
    }
    return abandoned
        .emit(CallEffect.Count(CallCounter.Refused(RefusalReason.CallerGone)))
        .then { it.endCall(callId, CallEnd.CallerGone(call.executionIfAbandoned()), now) }
        .emit(CallEffect.Finished(callId))
}

/** A cancelled attempt may have run on its target before the cancellation. */
private fun CallInProgress.executionIfAbandoned(): Execution =
    if (mayHaveRun || attempts.isNotEmpty()) Execution.MayHaveRun else Execution.NotRun

internal fun CallsState.finish(callId: CallId, now: Instant): CallsDecision =
    endCall(callId, CallEnd.Answered, now).emit(CallEffect.Finished(callId))

private fun CallsState.endCall(callId: CallId, end: CallEnd, now: Instant): CallsDecision {
    val call = calls[callId] ?: return CallsDecision(this)
    return copy(calls = calls.remove(callId))
        .leaveStages(call, end, now)
        .then { it.logCallEnd(call, end, now) }
}
