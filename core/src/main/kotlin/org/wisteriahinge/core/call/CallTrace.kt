package org.wisteriahinge.core.call

import java.time.Instant
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.wisteriahinge.core.model.Refusal
import org.wisteriahinge.core.model.RevisionNumber
import org.wisteriahinge.core.model.ServiceId
import org.wisteriahinge.core.model.TargetId
import org.wisteriahinge.core.routing.RoutingState

/**
 * The history of a call that ended, for the log.
 *
 * [revision] is the configuration in force when the call ended. [service] is null when the call was
 * refused before its service was known.
 */
public data class CallTrace(
    val request: CallRequest,
    val service: ServiceId?,
    val revision: RevisionNumber,
    val end: CallEnd,
    val endedAt: Instant,
    val steps: PersistentList<TraceStep>
) {
    /** Whether the call ended in any other way than by the answer of its only attempt. */
    internal val needsLogEntry: Boolean
        get() = end != CallEnd.Answered || steps.size > 1 || isHandedOver()

    private fun isHandedOver(): Boolean =
        request.handover != null || steps.any { it is TraceStep.HandedOver }
}

internal fun CallInProgress.withStep(step: TraceStep): CallInProgress =
    copy(steps = steps.add(step))

internal fun RoutingState.snapshotOf(id: TargetId): TargetSnapshot = TargetSnapshot(
    id,
    targets[id]?.inFlight ?: 0,
    targets[id]?.load,
    rateLimits.byTarget[id]?.requestsPerSecond
)

internal fun RoutingState.snapshotsOf(ids: Collection<TargetId>): PersistentList<TargetSnapshot> =
    ids.sortedBy { it.value }.map { snapshotOf(it) }.toPersistentList()

/** Logs the end of a call that had passed the checks on arrival, if it needs a log entry. */
internal fun CallsState.logCallEnd(
    call: CallInProgress,
    end: CallEnd,
    now: Instant
): CallsDecision {
    val service = call.matched.service.id
    val trace = CallTrace(call.request, service, configuration.revision, end, now, call.steps)
    val decision = CallsDecision(this)
    return if (trace.needsLogEntry) decision.emit(CallEffect.LogCall(trace)) else decision
}

/** Refuses and logs a request that has not become a call in progress. */
internal fun CallsState.refuseOnArrival(
    request: CallRequest,
    refusal: Refusal,
    now: Instant
): CallsDecision {
    val end = CallEnd.Refused(refusal)
    val steps = persistentListOf<TraceStep>()
    val trace = CallTrace(request, null, configuration.revision, end, now, steps)
    return refuse(request.callId, refusal, now).emit(CallEffect.LogCall(trace))
}
