package org.wisteriahinge.core.call

import java.time.Instant
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
import org.wisteriahinge.core.admission.AdmissionState
import org.wisteriahinge.core.limits.CallLimits
import org.wisteriahinge.core.model.AttemptId
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.Configuration
import org.wisteriahinge.core.model.ListedTargets
import org.wisteriahinge.core.model.MatchedOperation
import org.wisteriahinge.core.model.OperationId
import org.wisteriahinge.core.model.TargetId
import org.wisteriahinge.core.quarantine.QuarantineState
import org.wisteriahinge.core.retry.RetryState
import org.wisteriahinge.core.routing.RoutingState
import org.wisteriahinge.core.routing.WeightedRoundRobin
import org.wisteriahinge.core.survey.SurveysState

/** An attempt in progress and its state in the chart `call-attempt`. */
public data class AttemptInProgress(
    val attempt: Attempt,
    val state: AttemptState,
    val startedAt: Instant
)

/**
 * A call in progress.
 *
 * [attemptsStarted] counts all attempts, ended ones included; [tried] are their targets.
 * [mayHaveRun] is set once an ended attempt may have run. [waitingAt] is the stage that suspended
 * the call. [holdsPlace] is set while it counts against its plan's concurrent calls. [arrivals]
 * counts the ended attempts that reached their target. [roomAt] are the targets that reported room
 * in the call's survey. [steps] explain its end to the operators.
 */
public data class CallInProgress(
    val request: CallRequest,
    val caller: EntitledCaller,
    val matched: MatchedOperation,
    val attempts: PersistentMap<AttemptId, AttemptInProgress> = persistentHashMapOf(),
    val attemptsStarted: Int = 0,
    val tried: PersistentSet<TargetId> = persistentSetOf(),
    val mayHaveRun: Boolean = false,
    val waitingAt: CallStage? = null,
    val arrivals: Int = 0,
    val hedgeConsidered: Boolean = false,
    val claim: CallClaim = CallClaim.None,
    val holdsPlace: Boolean = false,
    val roomAt: PersistentSet<TargetId> = persistentSetOf(),
    val steps: PersistentList<CourseStep> = persistentListOf()
)

/** All that the decisions on calls depend on. Owned by the `calls` duty.
 *
 * [listed] are the targets of a registry, null where the operators' lists name them. [splits] are
 * the turns of routes with several backends. [held] are the calls that came too early.
 */
public data class CallsState(
    val configuration: Configuration,
    val routing: RoutingState,
    val calls: PersistentMap<CallId, CallInProgress> = persistentHashMapOf(),
    val lastAttemptId: Long = 0,
    val retries: RetryState = RetryState(),
    val limits: CallLimits = CallLimits(),
    val quarantine: QuarantineState = QuarantineState(),
    val admission: AdmissionState = AdmissionState(),
    val surveys: SurveysState = SurveysState(),
    val splits: PersistentMap<OperationId, WeightedRoundRobin> = persistentHashMapOf(),
    val listed: ListedTargets? = null,
    val held: HeldCalls = HeldCalls()
) {
    internal fun withCall(call: CallInProgress): CallsState =
        copy(calls = calls.put(call.request.callId, call))
}
