package org.wisteriahinge.core.once

import java.time.Instant
import kotlinx.collections.immutable.toPersistentList
import org.wisteriahinge.core.membership.PeerMessage
import org.wisteriahinge.core.membership.PeerOutcome
import org.wisteriahinge.core.membership.RetainedAnswer

/** Records the result of a call. The claim of a call that did not run is released. */
internal fun OnceState.callEnded(event: OnceEvent.Ended, now: Instant): OnceDecision {
    val withoutInquiry = copy(outcomeQueries = outcomeQueries.remove(event.callId))
    val key = keyByCall[event.callId] ?: return OnceDecision(withoutInquiry)
    val ownClaim = own[key] ?: return OnceDecision(withoutInquiry)
    return OnceDecision(
        when (ownClaim.phase) {
            is OwnClaimPhase.Waiting -> forgetWaitingClaim(event.callId)
            is OwnClaimPhase.Granted -> endGranted(event, ownClaim, now)
            is OwnClaimPhase.Answered, OwnClaimPhase.Unknown -> this
        }
    )
}

private fun OnceState.endGranted(
    event: OnceEvent.Ended,
    ownClaim: OwnClaim,
    now: Instant
): OnceState {
    val ended = copy(keyByCall = keyByCall.remove(event.callId))
    return when (val result = event.result) {
        ClaimResult.NotRun -> ended.copy(
            own = own.remove(ownClaim.claim.key)
        ).release(ownClaim.claim)
        is ClaimResult.Answered -> ended.retain(ownClaim, result.answer, now)
        ClaimResult.Unknown -> ended.markUnknown(ownClaim)
    }
}

private fun OnceState.markUnknown(ownClaim: OwnClaim): OnceState =
    copy(own = own.put(ownClaim.claim.key, ownClaim.copy(phase = OwnClaimPhase.Unknown)))

private fun OnceState.retain(ownClaim: OwnClaim, answer: RetainedAnswer?, now: Instant): OnceState {
    val size = answer?.body?.sizeBytes
    if (answer == null || size == null ||
        size > settings.maxAnswerBytes
    ) {
        return markUnknown(ownClaim)
    }
    return copy(
        own = own.put(
            ownClaim.claim.key,
            ownClaim.copy(phase = OwnClaimPhase.Answered(answer, now))
        ),
        retainedKeys = retainedKeys.add(ownClaim.claim.key),
        retainedBytes = retainedBytes + size
    ).evictAnswers(now)
}

/** Removes the oldest answers while the limits on total size and age are exceeded. */
private tailrec fun OnceState.evictAnswers(now: Instant): OnceState {
    val oldest = retainedKeys.firstOrNull() ?: return this
    val ownClaim = own[oldest]
    val phase = ownClaim?.phase
    if (ownClaim == null || phase !is OwnClaimPhase.Answered) {
        return copy(retainedKeys = retainedKeys.removeAt(0)).evictAnswers(now)
    }
    val fits = retainedBytes <= settings.maxRetainedBytes
    if (fits && phase.at.plus(settings.answerRetention) > now) return this
    return markUnknown(ownClaim).copy(
        retainedKeys = retainedKeys.removeAt(0),
        retainedBytes = retainedBytes - phase.answer.body.sizeBytes
    ).evictAnswers(now)
}

/** Removes answers and claims that no accepted resend can refer to. */
internal fun OnceState.forgetOutdated(now: Instant): OnceState {
    val evicted = evictAnswers(now)
    val pruned = evicted.ledger.prune(now)
    if (pruned === evicted.ledger) return evicted
    val limit = now.minus(settings.claimRetention)
    val outdated = evicted.own.filterValues { it.phase.isEnded() && it.claim.keyTime < limit }
    val releasable = evicted.releases.keys.filter { it !in pruned.held }
    return evicted.copy(
        ledger = pruned,
        own = outdated.keys.fold(evicted.own) { all, key -> all.remove(key) },
        releases = releasable.fold(evicted.releases) { all, key -> all.remove(key) }
    )
}

private fun OwnClaimPhase.isEnded(): Boolean = when (this) {
    is OwnClaimPhase.Waiting, is OwnClaimPhase.Granted -> false
    is OwnClaimPhase.Answered, OwnClaimPhase.Unknown -> true
}

/** Replies to an instance that received a request whose key is held by this instance. */
internal fun OnceState.outcomeRequested(event: OnceEvent.OutcomeRequested): OnceDecision {
    val outcome = when (val phase = own[event.key]?.phase) {
        is OwnClaimPhase.Waiting, is OwnClaimPhase.Granted -> PeerOutcome.InProgress
        is OwnClaimPhase.Answered -> PeerOutcome.Answered(phase.answer)
        OwnClaimPhase.Unknown -> PeerOutcome.Unknown
        null -> if (event.key in releases) PeerOutcome.InProgress else PeerOutcome.Unknown
    }
    val reply = PeerMessage.OutcomeReply(instance, event.key.value, outcome)
    return OnceDecision(this).emit(OnceEffect.Send(event.from, reply))
}

internal fun OnceState.outcomeReported(event: OnceEvent.OutcomeReported): OnceDecision {
    val settlement = when (val outcome = event.outcome) {
        PeerOutcome.InProgress -> inProgress
        PeerOutcome.Unknown -> unknownOutcome
        is PeerOutcome.Answered -> ClaimSettlement.Answered(outcome.answer)
    }
    val callers = outcomeQueries.filterValues { it.key == event.key }.keys.toPersistentList()
    return callers.fold(OnceDecision(this)) { decision, callId ->
        decision.update { it.copy(outcomeQueries = it.outcomeQueries.remove(callId)) }
            .then { it.settle(callId, settlement) }
    }
}
