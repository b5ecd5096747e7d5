package org.wisteriahinge.core.once

import java.time.Instant
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import org.wisteriahinge.core.membership.RetainedAnswer
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.InstanceId

/** The progress of a request whose key this instance claimed. */
public sealed interface OwnClaimPhase {
    /** The claim was queued or appended and not read back yet; the call waits until [deadline]. */
    public data class Waiting(val callId: CallId, val deadline: Instant) : OwnClaimPhase

    /** The claim was read back and won the key; the call may be running. */
    public data class Granted(val callId: CallId) : OwnClaimPhase

    /** A target answered with [answer] at [at]; the answer is kept for resends. */
    public data class Answered(val answer: RetainedAnswer, val at: Instant) : OwnClaimPhase

    /** The call's outcome is unknown, or its answer is no longer kept. */
    public data object Unknown : OwnClaimPhase
}

/** A claim that this instance made, and the progress of its request. */
public data class OwnClaim(val claim: ClaimEntry.Claim, val phase: OwnClaimPhase)

/** A query to the instance that holds [key]; a call waits for the reply until [deadline]. */
public data class OutcomeQuery(val key: KeyDigest, val deadline: Instant)

/**
 * A release that has not been read back from the log yet.
 *
 * @property lastAppendAt when it was last appended; null before the first append.
 */
public data class PendingRelease(val release: ClaimEntry.Release, val lastAppendAt: Instant?)

/**
 * The state of the decisions on claims. Owned by the `once` duty.
 *
 * A claim of this instance that wins its key but is not in [own] belongs to a call that was refused
 * in the meantime; it is released.
 *
 * @property catchUpOffset the end of the stream `claims` when this instance started; claims are not
 * decided before the stream was read up to it.
 * @property own the claims of this instance by key.
 * @property keyByCall the keys of the calls whose claims are waiting or granted.
 * @property outcomeQueries the questions to other instances that calls wait for.
 * @property pending claims that are not appended yet.
 * @property releases releases that are not read back yet.
 * @property inFlight the batch that the `log` duty is appending; at most one at a time.
 * @property retainedKeys the keys whose answers are kept, oldest first.
 * @property retainedBytes the total size of the kept answers.
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
    /** Whether claims can be decided: the stream is read and no recent key can have been lost. */
    public fun isReady(now: Instant): Boolean {
        val until = catchUpOffset ?: return false
        return ledger.nextOffset >= until && now > ledger.latestLostKeyTime
    }

    internal fun ownWithId(id: ClaimId, key: KeyDigest): OwnClaim? =
        own[key]?.takeIf { it.claim.id == id }
}

/** The state after an event, and the effects to perform in order. */
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
