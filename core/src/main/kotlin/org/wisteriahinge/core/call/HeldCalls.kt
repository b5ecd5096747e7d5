package org.wisteriahinge.core.call

import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.RefusalReason
import org.wisteriahinge.core.model.RevisionNumber

/** Maximum number of calls held at a time; the body of each stays in memory. */
private const val MAX_HELD_CALLS = 256

/** What is done with calls that arrive before the instance has a configuration and targets. */
public sealed interface EarlyCallPolicy {
    /** They are refused, and their callers retry. */
    public data object Refused : EarlyCallPolicy

    /**
     * They wait up to [maxWait] for the first configuration and list of targets.
     *
     * This serves a restart of all instances: callers that are refused would all retry at the same
     * time and have one attempt less.
     */
    public data class Held(val maxWait: Duration) : EarlyCallPolicy
}

/** A call held until the instance can serve it, and refused at [expiresAt]. */
public data class HeldCall(val request: CallRequest, val expiresAt: Instant)

/** The calls that wait for the first configuration and list of targets. */
public data class HeldCalls(
    val policy: EarlyCallPolicy = EarlyCallPolicy.Refused,
    val byId: PersistentMap<CallId, HeldCall> = persistentHashMapOf()
) {
    /** When the first held call expires; null if none is held. */
    internal val earliestExpiry: Instant? get() = byId.values.minOfOrNull { it.expiresAt }

    internal fun without(callId: CallId): HeldCalls = copy(byId = byId.remove(callId))
}

/** Whether a configuration, its age if it matters and a non-empty list of targets are known. */
private fun CallsState.isReadyToServe(): Boolean = configuration.revision > RevisionNumber.None &&
    listed?.byService?.isNotEmpty() == true &&
    (keyTrust.revocationBound == null || keyTrust.confirmedAt != null)

/** Holds [request]; null if it is to be decided on now. */
internal fun CallsState.holdUntilReady(request: CallRequest, now: Instant): CallsDecision? =
    when (val policy = held.policy) {
        EarlyCallPolicy.Refused -> null
        is EarlyCallPolicy.Held ->
            if (isReadyToServe() ||
                held.byId.size >= MAX_HELD_CALLS
            ) {
                null
            } else {
                hold(request, policy, now)
            }
    }

private fun CallsState.hold(
    request: CallRequest,
    policy: EarlyCallPolicy.Held,
    now: Instant
): CallsDecision {
    val call = HeldCall(request, minOf(now + policy.maxWait, request.deadline))
    return CallsDecision(copy(held = held.copy(byId = held.byId.put(request.callId, call))))
}

/** Decides on all held calls once the instance is ready to serve. */
internal fun CallsState.releaseHeld(now: Instant): CallsDecision {
    if (held.byId.isEmpty() || !isReadyToServe()) return CallsDecision(this)
    return held.byId.values.sortedBy { it.request.callId.value }
        .fold(CallsDecision(copy(held = held.copy(byId = persistentHashMapOf())))) { all, call ->
            all.then { it.arrive(call.request, now) }
        }
}

/** Refuses the held calls whose maximum wait is over. */
internal fun CallsState.refuseExpiredHeld(now: Instant): CallsDecision = held.byId.values
    .filter { it.expiresAt <= now }
    .sortedBy { it.request.callId.value }
    .fold(CallsDecision(this)) { all, call ->
        all.update { it.copy(held = it.held.without(call.request.callId)) }
            .then { it.refuseOnArrival(call.request, RefusalReason.NotReady.refusal(), now) }
    }

/** Removes a held call whose caller closed its connection. */
internal fun CallsState.dropHeldCall(call: HeldCall): CallsDecision =
    CallsDecision(copy(held = held.without(call.request.callId)))
        .emit(CallEffect.Count(CallCounter.Refused(RefusalReason.CallerGone)))
        .emit(CallEffect.Finished(call.request.callId))
