package org.wisteriahinge.core.call

import java.time.Instant
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentHashSetOf
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
import org.wisteriahinge.core.admission.AdmissionState
import org.wisteriahinge.core.handover.HandoverState
import org.wisteriahinge.core.keys.KeyTrust
import org.wisteriahinge.core.limits.CallLimits
import org.wisteriahinge.core.model.AttemptId
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.Configuration
import org.wisteriahinge.core.model.ListedTargets
import org.wisteriahinge.core.model.MatchedOperation
import org.wisteriahinge.core.model.OperationId
import org.wisteriahinge.core.model.ServiceId
import org.wisteriahinge.core.model.TargetId
import org.wisteriahinge.core.model.Zone
import org.wisteriahinge.core.quarantine.QuarantineState
import org.wisteriahinge.core.retry.RetryState
import org.wisteriahinge.core.routing.RoutingState
import org.wisteriahinge.core.routing.WeightedRoundRobin
import org.wisteriahinge.core.survey.SurveysState

/** An attempt that has not ended, with its state in the chart `call-attempt`. */
public data class AttemptInProgress(
    val attempt: Attempt,
    val state: AttemptState,
    val startedAt: Instant
)

/**
 * A call in progress.
 *
 * @property attempts the attempts that have not ended
 * @property attemptsStarted the number of all attempts, including ended ones
 * @property triedTargets the targets of all attempts, including ended ones
 * @property mayHaveRun whether an attempt that ended may have run the request
 * @property waitingAt the stage that suspended the call; null while it is not suspended
 * @property attemptsReceived the number of ended attempts that may have reached their target
 * @property hedgeConsidered whether a hedge was started or denied, so that none is considered again
 * @property countsAgainstPlan whether the call counts against its plan's concurrent calls
 * @property targetsWithCapacity the targets that reported spare capacity in the call's survey
 * @property steps the events logged when the call ends
 */
public data class CallInProgress(
    val request: CallRequest,
    val caller: EntitledCaller,
    val matched: MatchedOperation,
    val attempts: PersistentMap<AttemptId, AttemptInProgress> = persistentHashMapOf(),
    val attemptsStarted: Int = 0,
    val triedTargets: PersistentSet<TargetId> = persistentSetOf(),
    val mayHaveRun: Boolean = false,
    val waitingAt: CallStage? = null,
    val attemptsReceived: Int = 0,
    val hedgeConsidered: Boolean = false,
    val claim: CallClaim = CallClaim.None,
    val countsAgainstPlan: Boolean = false,
    val targetsWithCapacity: PersistentSet<TargetId> = persistentSetOf(),
    val steps: PersistentList<TraceStep> = persistentListOf()
)

/**
 * The state that all decisions on calls depend on. Owned by the `calls` duty.
 *
 * @property backendTurns position in the weighted rotation of each route over its backends
 * @property listed the targets listed by a registry; null where the operators' lists name them
 * @property mostUrgent the rank of the most urgent calls of each service
 * @property held the calls that arrived before the instance could serve them
 * @property handover the paths to the targets, and the instances that may have others
 * @property keyTrust whether the configuration is young enough to tell which API keys are accepted
 * @property evacuated the zones whose listed targets get nothing
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
    val backendTurns: PersistentMap<OperationId, WeightedRoundRobin> = persistentHashMapOf(),
    val listed: ListedTargets? = null,
    val mostUrgent: PersistentMap<ServiceId, CallRank> = persistentHashMapOf(),
    val held: HeldCalls = HeldCalls(),
    val handover: HandoverState = HandoverState(),
    val keyTrust: KeyTrust = KeyTrust(),
    val evacuated: PersistentSet<Zone> = persistentHashSetOf()
) {
    internal fun withCall(call: CallInProgress): CallsState =
        copy(calls = calls.put(call.request.callId, call))
}
