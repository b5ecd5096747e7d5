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
public sealed interface OwnPhase {
    /** Appended or about to be; its call waits until [deadline]. */
    public data class Waiting(val callId: CallId, val deadline: Instant) : OwnPhase

    /** The key is held and the call may be running. */
    public data class Granted(val callId: CallId) : OwnPhase

    /** Answered with [answer] at [at]. */
    public data class Answered(val answer: RetainedAnswer, val at: Instant) : OwnPhase

    /** Its outcome is unknown or its answer is no longer kept. */
    public data object Unknown : OwnPhase
}

/** A claim of this instance. */
public data class OwnClaim(val claim: ClaimEntry.Claim, val phase: OwnPhase)

/** A call that waits for the answer of a claim's holder. */
public data class Inquiry(val key: KeyDigest, val deadline: Instant)

/** A release until it is seen in the log; [lastAppendAt] is null before its first append. */
public data class OpenRelease(val release: ClaimEntry.Release, val lastAppendAt: Instant?)

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
    val catchUpTo: Long? = null,
    val own: PersistentMap<KeyDigest, OwnClaim> = persistentHashMapOf(),
    val keysByCall: PersistentMap<CallId, KeyDigest> = persistentHashMapOf(),
    val inquiries: PersistentMap<CallId, Inquiry> = persistentHashMapOf(),
    val pending: PersistentList<ClaimEntry.Claim> = persistentListOf(),
    val releases: PersistentMap<KeyDigest, OpenRelease> = persistentHashMapOf(),
    val inFlight: ClaimBatch? = null,
    val nextAppendAt: Instant = Instant.MIN,
    val liveInstances: Int = 1,
    val lastSequence: Long = 0,
    val lastAppend: Long = 0,
    val retained: PersistentList<KeyDigest> = persistentListOf(),
    val retainedBytes: Long = 0
) {
    /** Whether claims are decided: the stream was read far enough and no recent record is lost. */
    public fun isReady(now: Instant): Boolean {
        val until = catchUpTo ?: return false
        return ledger.nextOffset >= until && now > ledger.horizon
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
