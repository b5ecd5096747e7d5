package org.wisteriahinge.core.once

import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.toPersistentList

private const val NANOS_PER_SECOND = 1_000_000_000L

/** Interval between appends with which all live instances stay in the shared append budget. */
public fun OnceState.appendInterval(): Duration =
    Duration.ofNanos(NANOS_PER_SECOND * liveInstances / settings.appendsPerSecond)

/** Appends waiting claims and due releases unless an append is in flight or it is too early. */
internal fun OnceState.appendIfDue(now: Instant): OnceDecision {
    if (inFlight != null || now < nextAppendAt) return OnceDecision(this)
    val claims = pending.take(settings.maxEntriesPerBatch)
    val due = releases.values.filter { it.isDue(now, settings.releaseRetryInterval) }
        .take(settings.maxEntriesPerBatch - claims.size)
    if (claims.isEmpty() && due.isEmpty()) return OnceDecision(this)
    val entries = due.map { it.release } + claims
    val batch = ClaimBatch(
        appendId = "$instance-$nextAppendNumber",
        readOffset = ledger.nextOffset,
        readAt = now,
        entries = entries.toPersistentList()
    )
    val marked = due.fold(releases) { all, open ->
        all.put(open.release.key, open.copy(lastAppendAt = now))
    }
    return OnceDecision(
        copy(
            nextAppendNumber = nextAppendNumber + 1,
            pending = pending.drop(claims.size).toPersistentList(),
            releases = marked,
            inFlight = batch,
            nextAppendAt = now.plus(appendInterval())
        )
    ).emit(OnceEffect.Append(batch))
}

private fun PendingRelease.isDue(now: Instant, retry: Duration): Boolean =
    lastAppendAt == null || lastAppendAt.plus(retry) <= now

/**
 * Handles the result of the append in flight.
 *
 * Only [AppendOutcome.Rejected] refuses the claims at once. After [AppendOutcome.Unknown] they wait
 * until their deadline for the record to be read back. A claim that is read after it was refused is
 * released.
 */
internal fun OnceState.appendSettled(event: OnceEvent.AppendSettled, now: Instant): OnceDecision {
    val batch = inFlight?.takeIf { it.appendId == event.appendId } ?: return OnceDecision(this)
    val ended = copy(inFlight = null)
    return when (event.outcome) {
        AppendOutcome.Appended, AppendOutcome.Unknown -> OnceDecision(ended)
        AppendOutcome.Rejected -> batch.entries.filterIsInstance<ClaimEntry.Claim>()
            .fold(OnceDecision(ended)) { decision, claim ->
                decision.then { state ->
                    state.ownWithId(claim.id, claim.key)?.let {
                        state.withdrawWaitingClaim(it, now)
                    }
                        ?: OnceDecision(state)
                }
            }
    }
}
