package org.wisteriahinge.core.once

import java.time.Instant
import kotlinx.collections.immutable.toPersistentList
import org.wisteriahinge.core.membership.PeerMessage
import org.wisteriahinge.core.membership.PeerOutcome
import org.wisteriahinge.core.membership.RetainedAnswer

/** Notes how a call ended. The claim of a call that did not run is released. */
internal fun OnceState.ended(event: OnceEvent.Ended, now: Instant): OnceDecision {
    val withoutInquiry = copy(inquiries = inquiries.remove(event.callId))
    val key = keysByCall[event.callId] ?: return OnceDecision(withoutInquiry)
    val mine = own[key] ?: return OnceDecision(withoutInquiry)
    return OnceDecision(
        when (mine.phase) {
            is OwnPhase.Waiting -> drop(event.callId)
            is OwnPhase.Granted -> endGranted(event, mine, now)
            is OwnPhase.Answered, OwnPhase.Unknown -> this
        }
    )
}

private fun OnceState.endGranted(event: OnceEvent.Ended, mine: OwnClaim, now: Instant): OnceState {
    val ended = copy(keysByCall = keysByCall.remove(event.callId))
    return when (val result = event.result) {
        ClaimResult.NotRun -> ended.copy(own = own.remove(mine.claim.key)).release(mine.claim)
        is ClaimResult.Answered -> ended.retain(mine, result.answer, now)
        ClaimResult.Unknown -> ended.markUnknown(mine)
    }
}

private fun OnceState.markUnknown(mine: OwnClaim): OnceState =
    copy(own = own.put(mine.claim.key, mine.copy(phase = OwnPhase.Unknown)))

private fun OnceState.retain(mine: OwnClaim, answer: RetainedAnswer?, now: Instant): OnceState {
    val size = answer?.body?.sizeBytes
    if (answer == null || size == null || size > settings.maxAnswerBytes) return markUnknown(mine)
    return copy(
        own = own.put(mine.claim.key, mine.copy(phase = OwnPhase.Answered(answer, now))),
        retained = retained.add(mine.claim.key),
        retainedBytes = retainedBytes + size
    ).evict(now)
}

/** Drops the oldest answers that exceed the bounds in size or time. */
private tailrec fun OnceState.evict(now: Instant): OnceState {
    val oldest = retained.firstOrNull() ?: return this
    val mine = own[oldest]
    val phase = mine?.phase
    if (mine == null || phase !is OwnPhase.Answered) {
        return copy(retained = retained.removeAt(0)).evict(now)
    }
    val fits = retainedBytes <= settings.maxRetainedBytes
    if (fits && phase.at.plus(settings.retainFor) > now) return this
    return markUnknown(mine).copy(
        retained = retained.removeAt(0),
        retainedBytes = retainedBytes - phase.answer.body.sizeBytes
    ).evict(now)
}

/** Forgets what no resend can ask for any more. */
internal fun OnceState.forgetOutdated(now: Instant): OnceState {
    val evicted = evict(now)
    val pruned = evicted.ledger.prune(now)
    if (pruned === evicted.ledger) return evicted
    val limit = now.minus(settings.keepFor)
    val outdated = evicted.own.filterValues { it.phase.isEnded() && it.claim.keyTime < limit }
    val releasable = evicted.releases.keys.filter { it !in pruned.held }
    return evicted.copy(
        ledger = pruned,
        own = outdated.keys.fold(evicted.own) { all, key -> all.remove(key) },
        releases = releasable.fold(evicted.releases) { all, key -> all.remove(key) }
    )
}

private fun OwnPhase.isEnded(): Boolean = when (this) {
    is OwnPhase.Waiting, is OwnPhase.Granted -> false
    is OwnPhase.Answered, OwnPhase.Unknown -> true
}

/** Tells a peer the outcome of a request whose key it found claimed by this instance. */
internal fun OnceState.outcomeAsked(event: OnceEvent.OutcomeAsked): OnceDecision {
    val outcome = when (val phase = own[event.key]?.phase) {
        is OwnPhase.Waiting, is OwnPhase.Granted -> PeerOutcome.InProgress
        is OwnPhase.Answered -> PeerOutcome.Answered(phase.answer)
        OwnPhase.Unknown -> PeerOutcome.Unknown
        null -> if (event.key in releases) PeerOutcome.InProgress else PeerOutcome.Unknown
    }
    val reply = PeerMessage.OutcomeReply(instance, event.key.value, outcome)
    return OnceDecision(this).emit(OnceEffect.Send(event.from, reply))
}

internal fun OnceState.outcomeTold(event: OnceEvent.OutcomeTold): OnceDecision {
    val settlement = when (val outcome = event.outcome) {
        PeerOutcome.InProgress -> inProgress
        PeerOutcome.Unknown -> unknownOutcome
        is PeerOutcome.Answered -> ClaimSettlement.Answered(outcome.answer)
    }
    val callers = inquiries.filterValues { it.key == event.key }.keys.toPersistentList()
    return callers.fold(OnceDecision(this)) { decision, callId ->
        decision.update { it.copy(inquiries = it.inquiries.remove(callId)) }
            .then { it.settle(callId, settlement) }
    }
}
