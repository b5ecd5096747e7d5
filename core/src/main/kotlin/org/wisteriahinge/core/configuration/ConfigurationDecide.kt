package org.wisteriahinge.core.configuration

import java.time.Instant

/** Decides on [event] at [now]. Pure: reads no clock and performs no I/O. */
public fun ConfigurationState.decide(
    event: ConfigurationEvent,
    now: Instant
): ConfigurationDecision = when (event) {
    is ConfigurationEvent.Loaded -> loaded(event, now)
    is ConfigurationEvent.RecordsRead -> recordsRead(event.records, now)
    is ConfigurationEvent.RecordsLost -> recordsLost(event.earliest, now)
    is ConfigurationEvent.SnapshotsRead -> snapshotsRead(event.snapshots, now)
    ConfigurationEvent.SnapshotsLost ->
        ConfigurationDecision(copy(snapshots = snapshots.copy(newest = null)))
    is ConfigurationEvent.SnapshotWriteEnded -> snapshotWriteEnded(event.succeeded)
    is ConfigurationEvent.PeerHeard -> peerHeard(event.message, now)
    is ConfigurationEvent.MembersChanged ->
        ConfigurationDecision(copy(peers = peers.copy(members = event.members)))
    ConfigurationEvent.Ticked -> ConfigurationDecision(this)
}
    .update { it.clearBehindSince() }
    .then { it.checkTimeouts(now) }
    .then { it.writeSnapshotIfDue(now) }
    .then { it.reportChange() }

private fun ConfigurationState.checkTimeouts(now: Instant): ConfigurationDecision = when (phase) {
    ConfigurationPhase.Loading -> leaveLoading(now)
    ConfigurationPhase.Current ->
        if (isConfirmed(now)) {
            ConfigurationDecision(this)
        } else {
            step(ConfigurationTrigger.ConfirmationExpired, now)
        }
    ConfigurationPhase.Unconfirmed ->
        if (isConfirmed(now)) {
            step(ConfigurationTrigger.Confirmed, now)
        } else {
            askPeersIfDue(now)
        }
    ConfigurationPhase.Detached ->
        if (isLogReachable(now) && now >= phaseSince + timing.repositionTimeout) {
            step(ConfigurationTrigger.Settled, now)
        } else {
            askPeersIfDue(now)
        }
}

/**
 * Applies the first revision from the log only after a peer was heard, so that a restarted instance
 * does not use an older revision from a log that lost records. While the log does not answer, a
 * peer's revision is applied.
 */
private fun ConfigurationState.leaveLoading(now: Instant): ConfigurationDecision {
    val hasPosition = position.nextOffset >= position.retainedFrom
    val peerAnswered = !expectsPeers || peers.lastHeardAt != null
    val isBehind = peers.newestRevision > inForce.revision
    val graceEnded = now >= startedAt + timing.startGracePeriod
    return when {
        !position.loaded && lists != null -> step(ConfigurationTrigger.PositionFound, now)
        !position.loaded -> askPeersIfDue(now)
        !graceEnded && (isBehind || !peerAnswered) -> askPeersIfDue(now)
        !hasPosition -> step(ConfigurationTrigger.PositionLost, now)
        peerAnswered -> step(ConfigurationTrigger.PositionFound, now)
        else -> step(ConfigurationTrigger.Settled, now)
    }
}

/** Steps the chart with [trigger] and performs the actions that the chart file lists. */
internal fun ConfigurationState.step(
    trigger: ConfigurationTrigger,
    now: Instant
): ConfigurationDecision {
    if (!configurationChart.handles(phase, trigger)) return ConfigurationDecision(this)
    val next = configurationChart.step(phase, trigger)
    val moved = copy(phase = next.state, phaseSince = now)
    return next.effects.fold(ConfigurationDecision(moved)) { decision, action ->
        decision.then { it.performAction(action, now) }
    }
}

private fun ConfigurationState.performAction(
    action: ConfigurationAction,
    now: Instant
): ConfigurationDecision = when (action) {
    ConfigurationAction.ApplyRevision ->
        if (lists == null) {
            ConfigurationDecision(this)
        } else {
            ConfigurationDecision(this).emit(ConfigurationEffect.Apply(inForce))
        }
    ConfigurationAction.FoldHeldRecords -> applyHeldRecords()
    ConfigurationAction.AskPeers -> askPeers(now)
    ConfigurationAction.TakePositionInLog ->
        ConfigurationDecision(
            copy(
                position = position.copy(nextOffset = position.retainedFrom),
                snapshots = snapshots.copy(newest = null)
            )
        )
}

private fun ConfigurationState.isLogReachable(now: Instant): Boolean =
    position.readAt?.let { now < it + timing.confirmationValidity } == true

private fun ConfigurationState.isConfirmed(now: Instant): Boolean =
    isLogReachable(now) || peers.confirmedAt?.let { now < it + timing.confirmationValidity } == true

private fun ConfigurationState.clearBehindSince(): ConfigurationState =
    if (peers.newestRevision <= inForce.revision) {
        copy(peers = peers.copy(behindSince = null))
    } else {
        this
    }

private fun ConfigurationState.reportChange(): ConfigurationDecision = if (status == reported) {
    ConfigurationDecision(this)
} else {
    ConfigurationDecision(copy(reported = status)).emit(ConfigurationEffect.Report(status))
}
