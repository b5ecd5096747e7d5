package org.wisteriahinge.core.once

import java.time.Instant
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import org.wisteriahinge.core.membership.RetainedAnswer
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.InstanceId

/** What this instance knows of a request that it claimed. */
public sealed interface OwnClaimPhase {
    /** Appended or about to be; its call waits until [deadline]. */
    public data class Waiting(val callId: CallId, val deadline: Instant) : OwnClaimPhase

    /** The key is held and the call may be running. */
    public data class Granted(val callId: CallId) : OwnClaimPhase

    /** Answered with [answer] at [at]. */
    public data class Answered(val answer: RetainedAnswer, val at: Instant) : OwnClaimPhase

    /** Its outcome is unknown or its answer is no longer kept. */
    public data object Unknown : OwnClaimPhase
}

/** A claim of this instance. */
public data class OwnClaim(val claim: ClaimEntry.Claim, val phase: OwnClaimPhase)

/** A call that waits for the answer of a claim's holder. */
public data class OutcomeQuery(val key: KeyDigest, val deadline: Instant)

/** A release until it is seen in the log; [lastAppendAt] is null before its first append. */
public data class PendingRelease(val release: ClaimEntry.Release, val lastAppendAt: Instant?)

/**
 * All that the decisions on claims depend on. Owned by the `once` duty.
 *
 * A claim of this instance that wins although its key is not in [own] belongs to a call that was
 * refused meanwhile; it is released.
 */
public data class OnceState(
    val instance: InstanceId,
    val settings: OnceSettings,
    val ledger: ClaimLedger = ClaimLedger(settings),
    val catchUpOffset: Long? = null,
    val own: PersistentMap<KeyDigest, OwnClaim> = persistentHashMapOf(),
    val keyByCall: PersistentMap<CallId, KeyDigest> = persistentHashMapOf(),
    val outcomeQueries: PersistentMap<CallId, OutcomeQuery> = persistentHashMapOf(),
    val pending: PersistentList<ClaimEntry.Claim> = persistentListOf(),
    val releases: PersistentMap<KeyDigest, PendingRelease> = persistentHashMapOf(),
    val inFlight: ClaimBatch? = null,
    val nextAppendAt: Instant = Instant.MIN,
    val liveInstances: Int = 1,
    val lastSequence: Long = 0,
    val nextAppendNumber: Long = 0,
    val retainedKeys: PersistentList<KeyDigest> = persistentListOf(),
    val retainedBytes: Long = 0
) {
    /** Whether claims are decided: the stream was read far enough and no recent record is lost. */
    public fun isReady(now: Instant): Boolean {
        val until = catchUpOffset ?: return false
        return ledger.nextOffset >= until && now > ledger.latestLostKeyTime
    }

    internal fun ownWithId(id: ClaimId, key: KeyDigest): OwnClaim? =
        own[key]?.takeIf { it.claim.id == id }
}

/** The next state and the effects that lead to it, in order. */
public data class OnceDecision(
    val state: OnceState,
    val effects: PersistentList<OnceEffect> = persistentListOf()
) {
    internal fun emit(effect: OnceEffect): OnceDecision = copy(effects = effects.add(effect))

    internal fun update(change: (OnceState) -> OnceState): OnceDecision =
        copy(state = change(state))

    internal fun then(next: (OnceState) -> OnceDecision): OnceDecision {
        val decision = next(state)
        return OnceDecision(decision.state, effects.addAll(decision.effects))
    }
}
