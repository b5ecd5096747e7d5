package org.wisteriahinge.core.once

import java.time.Instant
import kotlinx.collections.immutable.PersistentList

/** Applies records of the stream to the ledger and settles this instance's claims in them. */
internal fun OnceState.read(batches: PersistentList<ReadBatch>, now: Instant): OnceDecision =
    batches.filter { it.offset >= ledger.nextOffset }
        .fold(OnceDecision(this)) { decision, read ->
            decision.then { it.readOne(read, now) }
        }

private fun OnceState.readOne(read: ReadBatch, now: Instant): OnceDecision {
    val advanced = copy(ledger = ledger.advancedPast(read.offset, read.batch))
    val entries = read.batch?.entries.orEmpty()
    return entries.fold(OnceDecision(advanced)) { decision, entry ->
        decision.update { it.copy(ledger = it.ledger.apply(entry, now)) }
            .then { if (entry.id.instance == instance) it.readOwn(entry, now) else it.unchanged() }
    }
}

private fun OnceState.unchanged() = OnceDecision(this)

private fun OnceState.readOwn(entry: ClaimEntry, now: Instant): OnceDecision = when (entry) {
    is ClaimEntry.Claim -> readOwnClaim(entry, now)
    is ClaimEntry.Release -> {
        val seen = releases[entry.key]?.release?.id == entry.id
        OnceDecision(if (seen) copy(releases = releases.remove(entry.key)) else this)
    }
}

private fun OnceState.readOwnClaim(claim: ClaimEntry.Claim, now: Instant): OnceDecision {
    val ownClaim = ownWithId(claim.id, claim.key)
    val winner = ledger.held[claim.key]
    val won = winner?.id == claim.id
    if (ownClaim == null) return OnceDecision(if (won) release(claim) else this)
    return when (val phase = ownClaim.phase) {
        is OwnClaimPhase.Waiting -> settleWaiting(ownClaim, phase, winner, now)
        is OwnClaimPhase.Granted, is OwnClaimPhase.Answered, OwnClaimPhase.Unknown -> unchanged()
    }
}

/** Checks the key's age again, because the time until a claim is read back is not bounded. */
private fun OnceState.settleWaiting(
    ownClaim: OwnClaim,
    phase: OwnClaimPhase.Waiting,
    winner: ClaimEntry.Claim?,
    now: Instant
): OnceDecision {
    val claim = ownClaim.claim
    val dropped = forgetWaitingClaim(phase.callId)
    val unused = if (winner?.id == claim.id) dropped.release(claim) else dropped
    return when {
        !isAcceptable(claim.keyTime, now) || winner == null ->
            unused.settle(phase.callId, expiredKey)
        winner.id != claim.id -> dropped.answerDuplicate(
            phase.callId,
            winner,
            claim.fingerprint,
            now
        )
        claim.keyTime <= ledger.latestLostKeyTime -> unused.settle(phase.callId, unknownOutcome)
        phase.deadline <= now -> unused.settle(phase.callId, claimUnavailable)
        else -> grant(ownClaim, phase)
    }
}

private fun OnceState.grant(ownClaim: OwnClaim, phase: OwnClaimPhase.Waiting): OnceDecision {
    val granted = ownClaim.copy(phase = OwnClaimPhase.Granted(phase.callId))
    return copy(own = own.put(ownClaim.claim.key, granted))
        .settle(phase.callId, ClaimSettlement.Granted)
}

/** Queues the release of [claim], whose request did not run and never will. */
internal fun OnceState.release(claim: ClaimEntry.Claim): OnceState {
    val release = ClaimEntry.Release(claim.id, claim.key)
    return copy(releases = releases.put(claim.key, PendingRelease(release, lastAppendAt = null)))
}
