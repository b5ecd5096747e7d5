package org.wisteriahinge.bench.policy

import java.time.Instant
import kotlin.random.Random
import org.wisteriahinge.app.toRetrySettings
import org.wisteriahinge.core.call.AttemptFailure
import org.wisteriahinge.core.call.CallEvent
import org.wisteriahinge.core.call.CallsState
import org.wisteriahinge.core.call.decide
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.Configuration
import org.wisteriahinge.core.retry.RetryState
import org.wisteriahinge.core.routing.RoutingState
import org.wisteriahinge.core.survey.SurveysState

/** The instance number [index] after its start with the lists and members of the scenario. */
internal fun Scenario.initialState(
    index: Int,
    decided: BenchPolicy.Decided,
    seed: Long
): CallsState {
    val routing = RoutingState(decided.policy, zoneOf(index, zones), seed * instances + index)
    val members = CallEvent.MembersChanged(instanceId(index), instanceIds())
    val surveys = SurveysState(survey)
    val retries = retryBudget?.let { RetryState(it.toRetrySettings(routing.seed)) }
        ?: decided.policy.retries()
    return CallsState(
        Configuration.Empty,
        routing,
        retries = retries,
        surveys = surveys,
        quarantine = initialQuarantine(),
        handover = initialHandover(index)
    )
        .decide(CallEvent.Configured(configuration(1)), Instant.EPOCH).state
        .decide(members, Instant.EPOCH).state
}

/** Whether [attempt] fails by the scenario's ratio of failing attempts. */
internal fun Scenario.drawFailure(attempt: SimAttempt, seed: Long): Boolean {
    val draw = Random(seed xor attempt.request.id * 31 + attempt.key.attempt.value)
    return draw.nextDouble() < failingAttemptRatio
}

internal fun failure(callId: CallId, key: AttemptKey, cause: AttemptFailure) =
    CallEvent.AttemptFailed(callId, key.attempt, cause, replayable = true)
