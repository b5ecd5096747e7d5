package org.wisteriahinge.core.quarantine

import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.wisteriahinge.core.call.CallEffect
import org.wisteriahinge.core.call.CallEvent
import org.wisteriahinge.core.call.CallsDecision
import org.wisteriahinge.core.call.CallsState
import org.wisteriahinge.core.membership.QuarantineNotice

private val SUMMARY_PERIOD: Duration = Duration.ofSeconds(1)
private val REPORT_WINDOW: Duration = Duration.ofSeconds(1)

/**
 * Creates a notice to peers about the request.
 *
 * Of a suspect, the notice carries the sender's own crash count, so that repeated notices add
 * nothing, and [QuarantineNotice.until] is set while the sender may run the request and
 * [Instant.EPOCH] otherwise. Of a quarantined request, it carries the total count and the end of
 * the quarantine. A notice with 0 crashes and [Instant.EPOCH] withdraws the sender's report.
 */
internal fun SuspectKey.OfCustomer.notice(crashes: Int, until: Instant): QuarantineNotice =
    QuarantineNotice(customer, operation, digest, crashes, until)

/** Reports [suspect] to all peers immediately, unless the maximum rate of reports is reached. */
internal fun CallsState.reportSuspect(
    key: SuspectKey.OfCustomer,
    suspect: Suspect,
    now: Instant
): CallsDecision {
    val reportWindow = quarantine.reportWindow
    val current = if (reportWindow.since + REPORT_WINDOW > now) reportWindow else ReportWindow(now)
    if (current.reports >= quarantine.settings.maxReportsPerSecond) return CallsDecision(this)
    val notice = if (suspect.quarantined) {
        key.notice(suspect.crashes, suspect.until)
    } else {
        key.notice(suspect.ownCrashes, now + quarantine.settings.exclusivePeriod)
    }
    val counted = current.copy(reports = current.reports + 1)
    return CallsDecision(copy(quarantine = quarantine.copy(reportWindow = counted)))
        .emit(CallEffect.ReportQuarantine(persistentListOf(notice)))
}

/** Tells peers that this instance no longer suspects [key]. */
internal fun CallsState.withdrawReport(key: SuspectKey.OfCustomer): CallsDecision =
    CallsDecision(this).emit(
        CallEffect.ReportQuarantine(persistentListOf(key.notice(crashes = 0, Instant.EPOCH)))
    )

/** Merges the notices of the peer that [event] names. */
internal fun CallsState.quarantineReported(
    event: CallEvent.QuarantineReported,
    now: Instant
): CallsDecision {
    val next = event.notices.fold(quarantine) { state, notice -> state.merge(event, notice, now) }
    return CallsDecision(copy(quarantine = next))
}

private fun QuarantineState.merge(
    event: CallEvent.QuarantineReported,
    notice: QuarantineNotice,
    now: Instant
): QuarantineState {
    val key = SuspectKey.OfCustomer(notice.customer, notice.operation, notice.digest)
    val withdrawn = notice.crashes <= 0 && notice.until == Instant.EPOCH
    return when {
        notice.crashes >= settings.maxCrashes -> mergeQuarantined(key, notice, now)
        withdrawn -> mergeWithdrawal(key, event, now)
        else -> mergeSuspected(key, event, notice, now)
    }
}

private fun QuarantineState.mergeQuarantined(
    key: SuspectKey,
    notice: QuarantineNotice,
    now: Instant
): QuarantineState {
    // A peer's clock may be ahead, so the quarantine is limited to its full length from now on.
    val until = minOf(notice.until, now + settings.quarantine)
    if (until <= now) return this
    return put(key, suspectOrNew(key, now).copy(quarantined = true, until = until), now)
}

private fun QuarantineState.mergeWithdrawal(
    key: SuspectKey,
    event: CallEvent.QuarantineReported,
    now: Instant
): QuarantineState {
    val known = suspect(key, now) ?: return this
    if (known.quarantined) return this
    val remaining = known.copy(
        peerCrashes = known.peerCrashes.remove(event.from),
        peerRunUntil = Instant.EPOCH
    )
    return if (remaining.crashes == 0) remove(key) else put(key, remaining, now)
}

private fun QuarantineState.mergeSuspected(
    key: SuspectKey,
    event: CallEvent.QuarantineReported,
    notice: QuarantineNotice,
    now: Instant
): QuarantineState {
    val known = suspectOrNew(key, now)
    val reported = maxOf(known.peerCrashes[event.from] ?: 0, notice.crashes)
    val end =
        if (notice.until == Instant.EPOCH) known.peerRunUntil else now + settings.exclusivePeriod
    return put(
        key,
        known.copy(
            peerCrashes = known.peerCrashes.put(event.from, reported),
            peerRunUntil = end,
            until = maxOf(known.until, now + settings.suspicionPeriod)
        ),
        now
    )
}

/**
 * Once per period, drops expired suspects and sets a bounded number of the others for the
 * heartbeats, rotating through all of them.
 */
internal fun CallsState.summarizeQuarantine(now: Instant): CallsDecision {
    if (quarantine.suspects.isEmpty()) return CallsDecision(this)
    if (quarantine.lastSummaryAt + SUMMARY_PERIOD > now) return CallsDecision(this)
    val kept = quarantine.withoutExpired(now)
        .copy(lastSummaryAt = now, summaryCount = quarantine.summaryCount + 1)
    val keys = kept.suspects.keys.filterIsInstance<SuspectKey.OfCustomer>()
    val first = if (keys.isEmpty()) 0 else kept.summaryCount % keys.size
    val chosen = (keys.drop(first) + keys.take(first))
        .filter { kept.suspects.getValue(it).isSentInHeartbeats() }
        .take(kept.settings.maxNoticesPerHeartbeat)
    val notices = chosen.map { key -> heartbeatNotice(key, kept.suspects.getValue(key), now) }
    return CallsDecision(copy(quarantine = kept))
        .emit(CallEffect.PublishQuarantineSummary(notices.toPersistentList()))
}

// Until it is quarantined, a suspect is repeated only by the instances that saw its crashes.
private fun Suspect.isSentInHeartbeats(): Boolean = quarantined || ownCrashes > 0

private fun CallsState.heartbeatNotice(key: SuspectKey.OfCustomer, suspect: Suspect, now: Instant) =
    when {
        suspect.quarantined -> key.notice(suspect.crashes, suspect.until)
        calls.values.any { it.suspectKey == key } ->
            key.notice(suspect.ownCrashes, now + quarantine.settings.exclusivePeriod)
        else -> key.notice(suspect.ownCrashes, Instant.EPOCH)
    }
