package org.wisteriahinge.core.once

import java.time.Duration
import java.time.Instant
import org.wisteriahinge.core.membership.PeerMessage
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.Execution
import org.wisteriahinge.core.model.Refusal
import org.wisteriahinge.core.model.RefusalReason

/** Retry-after while claims cannot be made; outages of the log usually last longer than this. */
private val RETRY_AFTER_UNAVAILABLE: Duration = Duration.ofSeconds(5)

/** Retry-after for a caller whose request is already in progress. */
private val RETRY_AFTER_IN_PROGRESS: Duration = Duration.ofSeconds(1)

/** Decides on [event] at [now]. Pure: reads no clock and performs no I/O. */
public fun OnceState.decide(event: OnceEvent, now: Instant): OnceDecision = when (event) {
    is OnceEvent.Requested -> requested(event, now)
    is OnceEvent.Ended -> callEnded(event, now)
    is OnceEvent.AppendSettled -> appendSettled(event, now)
    is OnceEvent.BoundsRead -> OnceDecision(boundsRead(event, now))
    is OnceEvent.Read -> read(event.batches, now)
    is OnceEvent.Gap -> OnceDecision(copy(ledger = ledger.resumedAt(event.earliest, now)))
    is OnceEvent.OutcomeRequested -> outcomeRequested(event)
    is OnceEvent.OutcomeReported -> outcomeReported(event)
    is OnceEvent.LiveInstances -> OnceDecision(copy(liveInstances = maxOf(1, event.count)))
    OnceEvent.Ticked -> ticked(now)
}.then { it.appendIfDue(now) }

private fun OnceState.boundsRead(event: OnceEvent.BoundsRead, now: Instant): OnceState =
    copy(ledger = ledger.resumedAt(event.earliest, now), catchUpOffset = event.next)

private fun OnceState.requested(event: OnceEvent.Requested, now: Instant): OnceDecision {
    val keyTime = event.key.time() ?: return settle(event.callId, invalidKey)
    val key = event.key.digest()
    val ownClaim = own[key]
    val winner = ledger.held[key]
    return when {
        !isAcceptable(keyTime, now) -> settle(event.callId, expiredKey)
        ownClaim != null -> settle(event.callId, answerFrom(ownClaim, event.fingerprint))
        winner != null -> answerDuplicate(event.callId, winner, event.fingerprint, now)
        !isReady(now) -> settle(event.callId, claimUnavailable)
        keyTime <= ledger.latestLostKeyTime -> settle(event.callId, unknownOutcome)
        pending.size >= settings.maxPending -> settle(event.callId, claimUnavailable)
        else -> enqueue(event, key, keyTime, now)
    }
}

/** Whether a key with [keyTime] is neither too old nor too far in the future at [now]. */
internal fun OnceState.isAcceptable(keyTime: Instant, now: Instant): Boolean =
    keyTime >= now.minus(settings.keyWindow) && keyTime <= now.plus(settings.maxClockSkew)

private fun OnceState.enqueue(
    event: OnceEvent.Requested,
    key: KeyDigest,
    keyTime: Instant,
    now: Instant
): OnceDecision {
    val id = ClaimId(instance, lastSequence + 1)
    val claim = ClaimEntry.Claim(id, key, keyTime, event.fingerprint)
    val deadline = minOf(event.deadline, now.plus(settings.claimTimeout))
    val waiting = OwnClaim(claim, OwnClaimPhase.Waiting(event.callId, deadline))
    return OnceDecision(
        copy(
            lastSequence = id.sequence,
            own = own.put(key, waiting),
            keyByCall = keyByCall.put(event.callId, key),
            pending = pending.add(claim)
        )
    )
}

private fun answerFrom(ownClaim: OwnClaim, fingerprint: Fingerprint): ClaimSettlement {
    if (ownClaim.claim.fingerprint != fingerprint) return reusedKey
    return when (val phase = ownClaim.phase) {
        is OwnClaimPhase.Waiting, is OwnClaimPhase.Granted -> inProgress
        is OwnClaimPhase.Answered -> ClaimSettlement.Answered(phase.answer)
        OwnClaimPhase.Unknown -> unknownOutcome
    }
}

/** Settles a call whose key [winner] already holds, asking the holder if it is another instance. */
internal fun OnceState.answerDuplicate(
    callId: CallId,
    winner: ClaimEntry.Claim,
    fingerprint: Fingerprint,
    now: Instant
): OnceDecision = when {
    winner.fingerprint != fingerprint -> settle(callId, reusedKey)
    winner.id.instance == instance -> settle(callId, inProgress)
    else -> {
        val query = OutcomeQuery(winner.key, now.plus(settings.outcomeTimeout))
        val question = PeerMessage.OutcomeRequest(instance, winner.key.value)
        OnceDecision(copy(outcomeQueries = outcomeQueries.put(callId, query)))
            .emit(OnceEffect.Send(winner.id.instance, question))
    }
}

private fun OnceState.ticked(now: Instant): OnceDecision {
    val late = own.values.filter { claim ->
        (claim.phase as? OwnClaimPhase.Waiting)?.let { it.deadline <= now } ?: false
    }
    val unanswered = outcomeQueries.filterValues { it.deadline <= now }.keys
    val dropped = late.fold(OnceDecision(this)) { decision, ownClaim ->
        decision.then { it.withdrawWaitingClaim(ownClaim, now) }
    }
    return unanswered.fold(dropped) { decision, callId ->
        decision.update { it.copy(outcomeQueries = it.outcomeQueries.remove(callId)) }
            .then { it.settle(callId, unknownOutcome) }
    }.update { it.forgetOutdated(now) }
}

/**
 * Ends the wait for a claim that was rejected or not read back in time.
 *
 * If another claim holds the key by now, that claim's request may have run, so the call is answered
 * as a resend of it.
 */
internal fun OnceState.withdrawWaitingClaim(ownClaim: OwnClaim, now: Instant): OnceDecision {
    val phase = ownClaim.phase as? OwnClaimPhase.Waiting ?: return OnceDecision(this)
    val winner = ledger.held[ownClaim.claim.key]
    val dropped = forgetWaitingClaim(phase.callId)
    return if (winner == null) {
        dropped.settle(phase.callId, claimUnavailable)
    } else {
        dropped.answerDuplicate(phase.callId, winner, ownClaim.claim.fingerprint, now)
    }
}

/** Forgets the claim of the waiting call [callId]; if its record still wins, it is released. */
internal fun OnceState.forgetWaitingClaim(callId: CallId): OnceState {
    val key = keyByCall[callId] ?: return this
    return copy(
        own = own.remove(key),
        keyByCall = keyByCall.remove(callId),
        pending = pending.removeAll { it.key == key }
    )
}

internal fun OnceState.settle(callId: CallId, settlement: ClaimSettlement): OnceDecision =
    OnceDecision(this).emit(OnceEffect.Settle(callId, settlement))

private fun refused(
    reason: RefusalReason,
    execution: Execution,
    retryAfter: Duration? = null
): ClaimSettlement = ClaimSettlement.Refused(Refusal(reason, execution, retryAfter))

private val invalidKey = refused(RefusalReason.InvalidIdempotencyKey, Execution.NotRun)

/** The same request may have run while its key was accepted, so it is not reported as not run. */
internal val expiredKey: ClaimSettlement =
    refused(RefusalReason.IdempotencyKeyExpired, Execution.MayHaveRun)

internal val reusedKey: ClaimSettlement =
    refused(RefusalReason.IdempotencyKeyReused, Execution.NotRun)

/** The claim cannot be made now; the call was not sent and will not be. */
public val claimUnavailable: ClaimSettlement =
    refused(RefusalReason.ClaimUnavailable, Execution.NotRun, RETRY_AFTER_UNAVAILABLE)

internal val unknownOutcome: ClaimSettlement =
    refused(RefusalReason.OutcomeUnknown, Execution.MayHaveRun)

internal val inProgress: ClaimSettlement =
    refused(RefusalReason.RequestInProgress, Execution.MayHaveRun, RETRY_AFTER_IN_PROGRESS)
