package org.wisteriahinge.core.survey

import java.time.Instant
import kotlinx.collections.immutable.toPersistentSet
import org.wisteriahinge.core.call.CallInProgress
import org.wisteriahinge.core.call.CallStage
import org.wisteriahinge.core.call.CallsDecision
import org.wisteriahinge.core.call.CallsState
import org.wisteriahinge.core.call.StageOutcome
import org.wisteriahinge.core.call.resumeAfter
import org.wisteriahinge.core.call.routeRequest
import org.wisteriahinge.core.call.sendProbe
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.LoadReport
import org.wisteriahinge.core.model.TargetId
import org.wisteriahinge.core.routing.TargetView
import org.wisteriahinge.core.routing.ranked
import org.wisteriahinge.core.routing.silent

/** Pace up to which a target with a free slot is good enough not to wait for other reports. */
private const val GOOD_PACE_PERCENT = 110
private const val USUAL_PACE_PERCENT = 100

/** Asks the best targets for their load, unless what they reported is fresh. */
internal fun CallsState.enterSurvey(call: CallInProgress, now: Instant): StageOutcome =
    when (val policy = surveys.policy) {
        SurveyPolicy.Off -> StageOutcome.Passed(CallsDecision(this))
        is SurveyPolicy.BeforeEach -> survey(call, policy, now)
    }

private fun CallsState.survey(
    call: CallInProgress,
    policy: SurveyPolicy.BeforeEach,
    now: Instant
): StageOutcome {
    val candidates = routing.ranked(routeRequest(call, now), policy.targets, now)
    val stale = candidates.filterNot { it.isFresh(policy, now) }
    if (stale.isEmpty()) return StageOutcome.Passed(CallsDecision(this))
    val survey = Survey(stale.map { it.target.id }.toPersistentSet(), now + policy.waitUpTo)
    val opened = copy(surveys = surveys.opened(call.request.callId, survey))
    return StageOutcome.Suspended(
        stale.fold(CallsDecision(opened)) { decision, view ->
            decision.then { it.ask(view, policy, now) }
        }
    )
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
                it.endSurvey(callId, now)
            } else {
                CallsDecision(it.copy(surveys = it.surveys.opened(callId, rest)))
            }
        }
    }
}

private fun LoadReport.isGood(now: Instant): Boolean = observedAt >= now &&
    inFlight < slots &&
    (pacePercent ?: USUAL_PACE_PERCENT) <= GOOD_PACE_PERCENT

/** Sends on the calls whose wait is over; the targets that did not answer count as silent. */
internal fun CallsState.endDueSurveys(now: Instant): CallsDecision = surveys.open
    .filterValues { it.until <= now }
    .entries.sortedBy { it.key.value }
    .fold(CallsDecision(this)) { decision, (callId, survey) ->
        decision
            .update { it.copy(routing = it.routing.silent(survey.awaiting, now)) }
            .then { it.endSurvey(callId, now) }
    }

private fun CallsState.endSurvey(callId: CallId, now: Instant): CallsDecision =
    copy(surveys = surveys.closed(callId)).resumeAfter(CallStage.Survey, callId, now)

/** A call that ends while it waits needs no report any more. */
internal fun CallsState.leaveSurvey(call: CallInProgress): CallsDecision =
    CallsDecision(copy(surveys = surveys.closed(call.request.callId)))
