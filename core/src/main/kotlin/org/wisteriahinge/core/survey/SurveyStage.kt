package org.wisteriahinge.core.survey

import java.time.Instant
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.toPersistentSet
import org.wisteriahinge.core.call.CallInProgress
import org.wisteriahinge.core.call.CallStage
import org.wisteriahinge.core.call.CallsDecision
import org.wisteriahinge.core.call.CallsState
import org.wisteriahinge.core.call.StageOutcome
import org.wisteriahinge.core.call.TraceStep
import org.wisteriahinge.core.call.refuse
import org.wisteriahinge.core.call.resumeAfter
import org.wisteriahinge.core.call.routeRequest
import org.wisteriahinge.core.call.sendProbe
import org.wisteriahinge.core.call.snapshotsOf
import org.wisteriahinge.core.call.withStep
import org.wisteriahinge.core.handover.Unanswered
import org.wisteriahinge.core.handover.targetUnanswered
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.LoadReport
import org.wisteriahinge.core.model.TargetId
import org.wisteriahinge.core.routing.TargetView
import org.wisteriahinge.core.routing.probesTimedOut
import org.wisteriahinge.core.routing.ranked
import org.wisteriahinge.core.scarcity.countDemand
import org.wisteriahinge.core.scarcity.firstTargets
import org.wisteriahinge.core.scarcity.recordProbeReport
import org.wisteriahinge.core.scarcity.recordSurvey
import org.wisteriahinge.core.scarcity.refuseFull
import org.wisteriahinge.core.scarcity.refuseIfHopeless

/** Probes the best targets for their load, except those whose last report is recent enough. */
internal fun CallsState.enterSurvey(call: CallInProgress, now: Instant): StageOutcome =
    when (val policy = surveys.policy) {
        SurveyPolicy.Off -> StageOutcome.Passed(CallsDecision(this))
        is SurveyPolicy.BeforeEach ->
            if (handover.isLost(call.matched.service.id)) {
                // Targets that cannot be reached have nothing to report.
                StageOutcome.Passed(CallsDecision(this))
            } else {
                refuseIfHopeless(call, now)?.let {
                    StageOutcome.Refused(it.decision, it.refusal)
                } ?: countDemand(call, now).startFirstRound(call, policy, now)
            }
    }

private fun CallsState.startFirstRound(
    call: CallInProgress,
    policy: SurveyPolicy.BeforeEach,
    now: Instant
): StageOutcome {
    val count = firstTargets(call, policy, now)
    if (count == 0) return StageOutcome.Passed(CallsDecision(this))
    val candidates = routing.ranked(routeRequest(call, now), count, now)
    val stale = candidates.filterNot { it.isFresh(policy, now) }
    val probed = candidates.map { it.target.id }.toPersistentSet()
    if (stale.isEmpty()) return decideOnFreshReports(call, probed, now)
    return StageOutcome.Suspended(startRound(call, stale, probed, SurveyRound.First, policy, now))
}

/** Passes or refuses the call without waiting, or starts the second round of its survey. */
private fun CallsState.decideOnFreshReports(
    call: CallInProgress,
    probed: PersistentSet<TargetId>,
    now: Instant
): StageOutcome {
    val others = startNextRound(call, probed, now)
    val round = if (others == null) SurveyRound.Second else SurveyRound.First
    return when (val verdict = verdict(call, probed, round, now)) {
        is SurveyVerdict.Capacity -> StageOutcome.Passed(
            CallsDecision(recordCapacity(call, verdict.available, probed, now))
        )
        is SurveyVerdict.SlowCapacity -> others?.let { StageOutcome.Suspended(it) }
            ?: StageOutcome.Passed(
                CallsDecision(recordCapacity(call, verdict.available, probed, now))
            )
        SurveyVerdict.Unknown -> StageOutcome.Passed(CallsDecision(this))
        SurveyVerdict.Full -> others?.let { StageOutcome.Suspended(it) }
            ?: recordFull(call, probed, now).refuseFull(call, now).let {
                StageOutcome.Refused(it.decision, it.refusal)
            }
    }
}

private fun CallsState.startRound(
    call: CallInProgress,
    stale: List<TargetView>,
    probed: PersistentSet<TargetId>,
    round: SurveyRound,
    policy: SurveyPolicy.BeforeEach,
    now: Instant
): CallsDecision {
    val awaiting = stale.map { it.target.id }.toPersistentSet()
    val survey = Survey(awaiting, now + policy.maxWait, probed, round)
    val opened = copy(surveys = surveys.withSurvey(call.request.callId, survey))
    return stale.fold(CallsDecision(opened)) { decision, view ->
        decision.then { it.probeUnlessPending(view, policy, now) }
    }
}

private fun TargetView.isFresh(policy: SurveyPolicy.BeforeEach, now: Instant): Boolean {
    val observedAt = load?.observedAt ?: return false
    return observedAt + policy.maxReportAge > now
}

/** Probes the target, unless a probe for another call is pending, whose report serves both. */
private fun CallsState.probeUnlessPending(
    view: TargetView,
    policy: SurveyPolicy.BeforeEach,
    now: Instant
): CallsDecision {
    val target = view.target
    val probedAt = surveys.probedAt[target.id]
    if (probedAt != null && probedAt + policy.maxWait > now) return CallsDecision(this)
    return copy(surveys = surveys.probeSent(target.id, now)).sendProbe(target)
}

/** Resumes the calls that need no further report, after a probe of [target] has ended. */
internal fun CallsState.continueSurveys(target: TargetId, now: Instant): CallsDecision {
    val seen = recordProbeReport(target, now).let {
        it.copy(surveys = it.surveys.probeEnded(target))
    }
    val sufficient = routing.targets[target]?.load?.isSufficient(now) == true
    val waiting = seen.surveys.open.filterValues { target in it.awaiting }
    return waiting.entries.sortedBy { it.key.value }.fold(CallsDecision(seen)) { decision, entry ->
        val (callId, survey) = entry
        val rest = survey.copy(awaiting = survey.awaiting.remove(target))
        decision.then {
            if (rest.awaiting.isEmpty() || sufficient && it.hasRoomFor(callId, rest, now)) {
                it.endRound(callId, rest, now)
            } else {
                CallsDecision(it.copy(surveys = it.surveys.withSurvey(callId, rest)))
            }
        }
    }
}

/** Whether the reports so far show enough room for the call. */
private fun CallsState.hasRoomFor(callId: CallId, survey: Survey, now: Instant): Boolean {
    val call = calls[callId] ?: return true
    return when (verdict(call, survey.probed, survey.round, now)) {
        is SurveyVerdict.Capacity -> true
        is SurveyVerdict.SlowCapacity, SurveyVerdict.Unknown, SurveyVerdict.Full -> false
    }
}

/** Whether the target is suitable enough not to wait for other reports. */
private fun LoadReport.isSufficient(now: Instant): Boolean =
    observedAt >= now && inFlight < slots && isUsualPace()

/** Ends the rounds whose maximum wait is over, and marks the targets that did not answer silent. */
internal fun CallsState.endExpiredSurveys(now: Instant): CallsDecision = surveys.open
    .filterValues { it.expiresAt <= now }
    .entries.sortedBy { it.key.value }
    .fold(CallsDecision(this)) { decision, (callId, survey) ->
        decision
            .update { it.copy(routing = it.routing.probesTimedOut(survey.awaiting, now)) }
            .then { it.observeSilence(survey.awaiting, now) }
            .then { it.endRound(callId, survey, now) }
    }

private fun CallsState.observeSilence(
    silent: PersistentSet<TargetId>,
    now: Instant
): CallsDecision = silent.fold(CallsDecision(this)) { decision, target ->
    decision.then { it.targetUnanswered(target, Unanswered.Silently, now) }
}

/** Resumes the call, starts its second round, or refuses it. */
private fun CallsState.endRound(callId: CallId, survey: Survey, now: Instant): CallsDecision {
    val closed = copy(surveys = surveys.withoutSurvey(callId))
    val call = calls[callId] ?: return CallsDecision(closed)
    if (handover.isLost(call.matched.service.id)) {
        return closed.resumeAfter(CallStage.Survey, callId, now)
    }
    val more = when (survey.round) {
        SurveyRound.First -> closed.startNextRound(call, survey.probed, now)
        SurveyRound.Second -> null
    }
    val round = if (more == null) SurveyRound.Second else SurveyRound.First
    return when (val verdict = closed.verdict(call, survey.probed, round, now)) {
        is SurveyVerdict.Capacity ->
            closed.recordCapacity(call, verdict.available, survey.probed, now)
                .resumeAfter(CallStage.Survey, callId, now)
        is SurveyVerdict.SlowCapacity ->
            more ?: closed.recordCapacity(call, verdict.available, survey.probed, now)
                .resumeAfter(CallStage.Survey, callId, now)
        SurveyVerdict.Unknown -> more ?: closed.resumeAfter(CallStage.Survey, callId, now)
        SurveyVerdict.Full -> more ?: closed.recordFull(call, survey.probed, now)
            .refuseFull(call, now)
            .let { full -> full.decision.then { it.refuse(callId, full.refusal, now) } }
    }
}

private fun CallsState.recordCapacity(
    call: CallInProgress,
    available: PersistentSet<TargetId>,
    probed: Collection<TargetId>,
    now: Instant
): CallsState = recordSurvey(call, probed, now).withCall(call.copy(targetsWithCapacity = available))

private fun CallsState.recordFull(
    call: CallInProgress,
    probed: Collection<TargetId>,
    now: Instant
): CallsState = recordSurvey(call, probed, now)
    .withCall(call.withStep(TraceStep.NoCapacity(now, routing.snapshotsOf(probed))))

/**
 * Probes the rest of the targets of the first round, or starts the second one; null if there is no
 * other target to probe.
 */
private fun CallsState.startNextRound(
    call: CallInProgress,
    probed: PersistentSet<TargetId>,
    now: Instant
): CallsDecision? = when (val policy = surveys.policy) {
    SurveyPolicy.Off -> null
    is SurveyPolicy.BeforeEach -> {
        val request = routeRequest(call, now).let { it.copy(exclude = it.exclude.addAll(probed)) }
        val rest = routing.ranked(request, (policy.targets - probed.size).coerceAtLeast(0), now)
        val all = probed.addAll(rest.map { it.target.id })
        val stale = rest.filterNot { it.isFresh(policy, now) }
        if (stale.isEmpty()) {
            startSecondRound(call, all, now)
        } else {
            startRound(call, stale, all, SurveyRound.First, policy, now)
        }
    }
}

/** Starts the second round of a survey; null if there is no other target to probe. */
private fun CallsState.startSecondRound(
    call: CallInProgress,
    probed: PersistentSet<TargetId>,
    now: Instant
): CallsDecision? = when (val policy = surveys.policy) {
    SurveyPolicy.Off -> null
    is SurveyPolicy.BeforeEach -> {
        val request = routeRequest(call, now).let { it.copy(exclude = it.exclude.addAll(probed)) }
        val others = routing.ranked(request, policy.secondRoundTargets, now)
        val all = probed.addAll(others.map { it.target.id })
        if (others.isEmpty()) {
            null
        } else {
            startRound(
                call,
                others,
                all,
                SurveyRound.Second,
                policy,
                now
            )
        }
    }
}

/** Removes the survey of a call that ends while it waits for reports. */
internal fun CallsState.leaveSurvey(call: CallInProgress): CallsDecision =
    CallsDecision(copy(surveys = surveys.withoutSurvey(call.request.callId)))
