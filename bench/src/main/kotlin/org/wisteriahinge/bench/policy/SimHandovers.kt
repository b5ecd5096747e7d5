package org.wisteriahinge.bench.policy

import java.time.Instant
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.wisteriahinge.core.call.Attempt
import org.wisteriahinge.core.call.AttemptFailure
import org.wisteriahinge.core.call.CallEvent
import org.wisteriahinge.core.handover.AttemptPath
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.Execution
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.core.model.Refusal
import org.wisteriahinge.core.model.RefusalReason

/** The call [callId] at the instance number [instance], which got it from another one. */
internal data class PeerCall(val instance: Int, val callId: CallId)

/** The calls that are handed over at present, with the attempts of the instances they came from. */
internal data class SimHandovers(
    private val attempts: PersistentMap<PeerCall, AttemptKey> = persistentHashMapOf(),
    private val calls: PersistentMap<AttemptKey, PeerCall> = persistentHashMapOf()
) {
    fun attemptOf(call: PeerCall): AttemptKey? = attempts[call]

    fun callOf(attempt: AttemptKey): PeerCall? = calls[attempt]

    fun with(call: PeerCall, attempt: AttemptKey): SimHandovers =
        SimHandovers(attempts.put(call, attempt), calls.put(attempt, call))

    fun without(call: PeerCall): SimHandovers {
        val attempt = attempts[call] ?: return this
        return SimHandovers(attempts.remove(call), calls.remove(attempt))
    }
}

internal fun instanceIndex(id: InstanceId): Int = id.value.removePrefix("instance-").toInt()

/** The arrival of [request] at the instance that [attempt] hands it over to. */
internal fun Scenario.handoverArrival(
    request: SimRequest,
    attempt: Attempt,
    path: AttemptPath.ThroughInstance,
    now: Instant
): CallEvent.Arrived = CallEvent.Arrived(
    callRequest(request, now).copy(deadline = attempt.deadline, handover = path.call)
)

/** What the sending instance learns of [refusal] by the one that got its call. */
internal fun handoverFailure(refusal: Refusal): AttemptFailure = when (refusal.execution) {
    Execution.NotRun ->
        if (refusal.reason == RefusalReason.Overloaded) {
            AttemptFailure.Shed
        } else {
            AttemptFailure.HandoverDeclined
        }
    Execution.WasRun, Execution.MayHaveRun -> AttemptFailure.HandoverFailed
}
