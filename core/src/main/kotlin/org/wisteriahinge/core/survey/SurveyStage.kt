package org.wisteriahinge.core.survey

import java.time.Instant
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.toPersistentSet
import org.wisteriahinge.core.call.CallInProgress
import org.wisteriahinge.core.call.CallStage
import org.wisteriahinge.core.call.CallsDecision
import org.wisteriahinge.core.call.CallsState
import org.wisteriahinge.core.call.CourseStep
import org.wisteriahinge.core.call.StageOutcome
import org.wisteriahinge.core.call.known
import org.wisteriahinge.core.call.noted
import org.wisteriahinge.core.call.refuse
import org.wisteriahinge.core.call.resumeAfter
import org.wisteriahinge.core.call.routeRequest
import org.wisteriahinge.core.call.sendProbe
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.LoadReport
import org.wisteriahinge.core.model.TargetId
import org.wisteriahinge.core.routing.TargetView
import org.wisteriahinge.core.routing.probesTimedOut
import org.wisteriahinge.core.routing.ranked

/** Asks the best targets for their load, unless what they reported is fresh. */
internal fun CallsState.enterSurvey(call: CallInProgress, now: Instant): StageOutcome =
    when (val policy = surveys.policy) {
        SurveyPolicy.Off -> StageOutcome.Passed(CallsDecision(this))
        is SurveyPolicy.BeforeEach -> firstRound(call, policy, now)
    }

private fun CallsState.firstRound(
    call: CallInProgress,
    policy: SurveyPolicy.BeforeEach,
    now: Instant
): StageOutcome {
    val candidates = routing.ranked(routeRequest(call, now), policy.targets, now)
    val stale = candidates.filterNot { it.isFresh(policy, now) }
    val asked = candidates.map { it.target.id }.toPersistentSet()
    if (stale.isEmpty()) return judgedByFresh(call, asked, now)
    return StageOutcome.Suspended(ask(call, stale, asked, SurveyRound.First, policy, now))
}

/** Without a report to wait for, a call is sent on or refused at once, or others are asked. */
private fun CallsState.judgedByFresh(
    call: CallInProgress,
    asked: PersistentSet<TargetId>,
    now: Instant
): StageOutcome {
    val others = askOthers(call, asked, now)
    val round = if (others == null) SurveyRound.Second else SurveyRound.First
    return when (val verdict = verdict(call, asked, round, now)) {
        is SurveyVerdict.Room -> StageOutcome.Passed(CallsDecision(withRoom(call, verdict.at)))
        is SurveyVerdict.SlowRoom -> others?.let { StageOutcome.Suspended(it) }
            ?: StageOutcome.Passed(CallsDecision(withRoom(call, verdict.at)))
        SurveyVerdict.Unknown -> StageOutcome.Passed(CallsDecision(this))
        SurveyVerdict.Full -> others?.let { StageOutcome.Suspended(it) }
            ?: StageOutcome.Refused(CallsDecision(foundFull(call, asked, now)), fullRefusal(call))
    }
}

private fun CallsState.ask(
    call: CallInProgress,
    stale: List<TargetView>,
    asked: PersistentSet<TargetId>,
    round: SurveyRound,
    policy: SurveyPolicy.BeforeEach,
    now: Instant
): CallsDecision {
    val awaiting = stale.map { it.target.id }.toPersistentSet()
    val survey = Survey(awaiting, now + policy.waitUpTo, asked, round)
    val opened = copy(surveys = surveys.opened(call.request.callId, survey))
    return stale.fold(CallsDecision(opened)) { decision, view ->
        decision.then { it.ask(view, policy, now) }
    }
}

private fun TargetView.isFresh(policy: SurveyPolicy.BeforeEach, now: Instant): Boolean {
    val observedAt = load?.observedAt ?: return false
    return observedAt + policy.freshFor > now
}

/** A report that is on its way for another call serves this one as well. */
private fun CallsState.ask(
    view: TargetView,
    policy: SurveyPolicy.BeforeEach,
    now: Instant
): CallsDecision {
    val target = view.target
    val askedAt = surveys.askedAt[target.id]
    if (askedAt != null && askedAt + policy.waitUpTo > now) return CallsDecision(this)
    return copy(surveys = surveys.asked(target.id, now)).sendProbe(target)
}

/** The probe of [target] ended; calls that need no other report go on. */
internal fun CallsState.surveyAnswered(target: TargetId, now: Instant): CallsDecision {
    val seen = copy(surveys = surveys.answered(target))
    val good = routing.targets[target]?.load?.isGood(now) == true
    val waiting = seen.surveys.open.filterValues { target in it.awaiting }
    return waiting.entries.sortedBy { it.key.value }.fold(CallsDecision(seen)) { decision, entry ->
        val (callId, survey) = entry
        val rest = survey.copy(awaiting = survey.awaiting.remove(target))
        decision.then {
            if (good || rest.awaiting.isEmpty()) {
                it.endRound(callId, rest, now)
            } else {
                CallsDecision(it.copy(surveys = it.surveys.opened(callId, rest)))
            }
        }
    }
}

/** Good enough not to wait for other reports. */
private fun LoadReport.isGood(now: Instant): Boolean =
    observedAt >= now && inFlight < slots && isUsualPace()

/** Ends the rounds whose wait is over; the targets that did not answer count as silent. */
internal fun CallsState.endDueSurveys(now: Instant): CallsDecision = surveys.open
    .filterValues { it.until <= now }
    .entries.sortedBy { it.key.value }
    .fold(CallsDecision(this)) { decision, (callId, survey) ->
        decision
            .update { it.copy(routing = it.routing.probesTimedOut(survey.awaiting, now)) }
            .then { it.endRound(callId, survey, now) }
    }

/** Sends the call on, asks more targets, or refuses it. */
private fun CallsState.endRound(callId: CallId, survey: Survey, now: Instant): CallsDecision {
    val closed = copy(surveys = surveys.closed(callId))
    val call = calls[callId] ?: return CallsDecision(closed)
    val more = when (survey.round) {
        SurveyRound.First -> closed.askOthers(call, survey.asked, now)
        SurveyRound.Second -> null
    }
    val round = if (more == null) SurveyRound.Second else SurveyRound.First
    return when (val verdict = closed.verdict(call, survey.asked, round, now)) {
        is SurveyVerdict.Room ->
            closed.withRoom(call, verdict.at).resumeAfter(CallStage.Survey, callId, now)
        is SurveyVerdict.SlowRoom ->
            more ?: closed.withRoom(call, verdict.at).resumeAfter(CallStage.Survey, callId, now)
        SurveyVerdict.Unknown -> more ?: closed.resumeAfter(CallStage.Survey, callId, now)
        SurveyVerdict.Full -> more ?: closed.foundFull(call, survey.asked, now).let {
            it.refuse(callId, it.fullRefusal(call), now)
        }
    }
}

private fun CallsState.withRoom(call: CallInProgress, at: PersistentSet<TargetId>): CallsState =
    judged(call, full = false).withCall(call.copy(roomAt = at))

private fun CallsState.foundFull(
    call: CallInProgress,
    asked: Collection<TargetId>,
    now: Instant
): CallsState = judged(call, full = true)
    .withCall(call.noted(CourseStep.NoRoom(now, routing.known(asked))))

private fun CallsState.judged(call: CallInProgress, full: Boolean): CallsState =
    copy(surveys = surveys.judged(call.matched.service.id, full))

/** The second round of a survey; null when there is no other target to ask. */
private fun CallsState.askOthers(
    call: CallInProgress,
    asked: PersistentSet<TargetId>,
    now: Instant
): CallsDecision? = when (val policy = surveys.policy) {
    SurveyPolicy.Off -> null
    is SurveyPolicy.BeforeEach -> {
        val request = routeRequest(call, now).let { it.copy(exclude = it.exclude.addAll(asked)) }
        val others = routing.ranked(request, policy.moreTargets, now)
        val all = asked.addAll(others.map { it.target.id })
        if (others.isEmpty()) null else ask(call, others, all, SurveyRound.Second, policy, now)
    }
}

/** A call that ends while it waits needs no report any more. */
internal fun CallsState.leaveSurvey(call: CallInProgress): CallsDecision =
    CallsDecision(copy(surveys = surveys.closed(call.request.callId)))
