package org.wisteriahinge.core.once

import java.time.Duration
import java.time.Instant
import org.wisteriahinge.core.membership.PeerMessage
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.Execution
import org.wisteriahinge.core.model.Refusal
import org.wisteriahinge.core.model.RefusalReason

/** Delay told to callers while claims cannot be made; the log's outages last longer than this. */
private val RETRY_AFTER_UNAVAILABLE: Duration = Duration.ofSeconds(5)

/** Delay told to a caller whose request is in progress. */
private val RETRY_AFTER_IN_PROGRESS: Duration = Duration.ofSeconds(1)

/** Decides on [event] at [now]. Pure: reads no clock and performs no I/O. */
public fun OnceState.decide(event: OnceEvent, now: Instant): OnceDecision = when (event) {
    is OnceEvent.Requested -> requested(event, now)
    is OnceEvent.Ended -> ended(event, now)
    is OnceEvent.AppendSettled -> appendSettled(event, now)
    is OnceEvent.Bounded -> OnceDecision(bounded(event, now))
    is OnceEvent.Read -> read(event.batches, now)
    is OnceEvent.Gap -> OnceDecision(copy(ledger = ledger.retainedFrom(event.earliest, now)))
    is OnceEvent.OutcomeAsked -> outcomeAsked(event)
    is OnceEvent.OutcomeTold -> outcomeTold(event)
    is OnceEvent.LiveInstances -> OnceDecision(copy(liveInstances = maxOf(1, event.count)))
    OnceEvent.Ticked -> ticked(now)
}.then { it.appendIfDue(now) }

private fun OnceState.bounded(event: OnceEvent.Bounded, now: Instant): OnceState =
    copy(ledger = ledger.retainedFrom(event.earliest, now), catchUpTo = event.next)

private fun OnceState.requested(event: OnceEvent.Requested, now: Instant): OnceDecision {
    val keyTime = event.key.time() ?: return settle(event.callId, invalidKey)
    val key = event.key.digest()
    val mine = own[key]
    val winner = ledger.held[key]
    return when {
        !isAcceptable(keyTime, now) -> settle(event.callId, expiredKey)
        mine != null -> settle(event.callId, answerFrom(mine, event.fingerprint))
        winner != null -> resend(event.callId, winner, event.fingerprint, now)
        !isReady(now) -> settle(event.callId, claimUnavailable)
        keyTime <= ledger.horizon -> settle(event.callId, unknownOutcome)
        pending.size >= settings.maxPending -> settle(event.callId, claimUnavailable)
        else -> enqueue(event, key, keyTime, now)
    }
}

/** Whether a key of [keyTime] is inside the acceptance window at [now]. */
internal fun OnceState.isAcceptable(keyTime: Instant, now: Instant): Boolean =
    keyTime >= now.minus(settings.window) && keyTime <= now.plus(settings.skewBound)

private fun OnceState.enqueue(
    event: OnceEvent.Requested,
    key: KeyDigest,
    keyTime: Instant,
    now: Instant
): OnceDecision {
    val id = ClaimId(instance, lastSequence + 1)
    val claim = ClaimEntry.Claim(id, key, keyTime, event.fingerprint)
    val deadline = minOf(event.deadline, now.plus(settings.claimTimeout))
    val waiting = OwnClaim(claim, OwnPhase.Waiting(event.callId, deadline))
    return OnceDecision(
        copy(
            lastSequence = id.sequence,
            own = own.put(key, waiting),
            keysByCall = keysByCall.put(event.callId, key),
            pending = pending.add(claim)
        )
    )
}

private fun answerFrom(mine: OwnClaim, fingerprint: Fingerprint): ClaimSettlement {
    if (mine.claim.fingerprint != fingerprint) return reusedKey
    return when (val phase = mine.phase) {
        is OwnPhase.Waiting, is OwnPhase.Granted -> inProgress
        is OwnPhase.Answered -> ClaimSettlement.Answered(phase.answer)
        OwnPhase.Unknown -> unknownOutcome
    }
}

/** Answers a copy of a request whose key [winner] holds. */
internal fun OnceState.resend(
    callId: CallId,
    winner: ClaimEntry.Claim,
    fingerprint: Fingerprint,
    now: Instant
): OnceDecision = when {
    winner.fingerprint != fingerprint -> settle(callId, reusedKey)
    winner.id.instance == instance -> settle(callId, inProgress)
    else -> {
        val inquiry = Inquiry(winner.key, now.plus(settings.outcomeTimeout))
        val question = PeerMessage.OutcomeRequest(instance, winner.key.value)
        OnceDecision(copy(inquiries = inquiries.put(callId, inquiry)))
            .emit(OnceEffect.Send(winner.id.instance, question))
    }
}

private fun OnceState.ticked(now: Instant): OnceDecision {
    val late = own.values.filter { claim ->
        (claim.phase as? OwnPhase.Waiting)?.let { it.deadline <= now } ?: false
    }
    val unanswered = inquiries.filterValues { it.deadline <= now }.keys
    val dropped = late.fold(OnceDecision(this)) { decision, mine ->
        decision.then { it.giveUp(mine, now) }
    }
    return unanswered.fold(dropped) { decision, callId ->
        decision.update { it.copy(inquiries = it.inquiries.remove(callId)) }
            .then { it.settle(callId, unknownOutcome) }
    }.update { it.forgetOutdated(now) }
}

/**
 * Ends the wait for a claim that was not read back in time.
 *
 * When another claim is known to hold the key, its request may have run, so the call is answered
 * as its resend.
 */
internal fun OnceState.giveUp(mine: OwnClaim, now: Instant): OnceDecision {
    val phase = mine.phase as? OwnPhase.Waiting ?: return OnceDecision(this)
    val winner = ledger.held[mine.claim.key]
    val dropped = drop(phase.callId)
    return if (winner == null) {
        dropped.settle(phase.callId, claimUnavailable)
    } else {
        dropped.resend(phase.callId, winner, mine.claim.fingerprint, now)
    }
}

/** Forgets the claim of a call that waits; if its record wins nevertheless, it is released. */
internal fun OnceState.drop(callId: CallId): OnceState {
    val key = keysByCall[callId] ?: return this
    return copy(
        own = own.remove(key),
        keysByCall = keysByCall.remove(callId),
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

/** An earlier copy may have run while the key was accepted, so this is not reported as not run. */
internal val expiredKey: ClaimSettlement =
    refused(RefusalReason.IdempotencyKeyExpired, Execution.MayHaveRun)

internal val reusedKey: ClaimSettlement =
    refused(RefusalReason.IdempotencyKeyReused, Execution.NotRun)

/** The claim cannot be made now; the call was not and will not be sent. */
public val claimUnavailable: ClaimSettlement =
    refused(RefusalReason.ClaimUnavailable, Execution.NotRun, RETRY_AFTER_UNAVAILABLE)

internal val unknownOutcome: ClaimSettlement =
    refused(RefusalReason.OutcomeUnknown, Execution.MayHaveRun)

internal val inProgress: ClaimSettlement =
    refused(RefusalReason.RequestInProgress, Execution.MayHaveRun, RETRY_AFTER_IN_PROGRESS)
