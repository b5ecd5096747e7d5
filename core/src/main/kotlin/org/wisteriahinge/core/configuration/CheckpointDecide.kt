package org.wisteriahinge.core.configuration

import java.time.Instant
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentSetOf
import org.wisteriahinge.core.membership.PeerMessage
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.core.model.RevisionNumber

/** More than one, so that a slow or unreachable peer does not delay the reply. */
private const val MAX_PEERS_PER_REQUEST = 3

internal fun ConfigurationState.snapshotsRead(
    records: PersistentList<SnapshotRecord>,
    now: Instant
): ConfigurationDecision = records.fold(ConfigurationDecision(this)) { decision, record ->
    decision
        .update { it.copy(snapshots = it.snapshots.copy(newest = record.toHeader())) }
        .then {
            it.adoptIfNewer(record.checkpoint, ConfigurationCounter.AcceptedFromSnapshot, now)
        }
}

private fun SnapshotRecord.toHeader() =
    SnapshotHeader(streamOffset, writtenAt, checkpoint.revision, checkpoint.nextOffset)

internal fun ConfigurationState.peerHeard(
    message: PeerMessage,
    now: Instant
): ConfigurationDecision = when (message) {
    is PeerMessage.Heartbeat -> heartbeatHeard(message.from, message.revision, now)
    is PeerMessage.ConfigurationRequest -> replyTo(message.from)
    is PeerMessage.ConfigurationReply -> replyHeard(message, now)
    is PeerMessage.Quarantine,
    is PeerMessage.OutcomeRequest,
    is PeerMessage.OutcomeReply -> ConfigurationDecision(this)
}

private fun ConfigurationState.heartbeatHeard(
    from: InstanceId,
    revision: RevisionNumber,
    now: Instant
): ConfigurationDecision {
    val isBehind = revision > inForce.revision
    val heard = copy(
        peers = peers.copy(
            lastHeardAt = if (revision > RevisionNumber.None) now else peers.lastHeardAt,
            confirmedAt = if (revision == inForce.revision) now else peers.confirmedAt,
            behindSince = if (isBehind) peers.behindSince ?: now else peers.behindSince,
            newestRevision = maxOf(peers.newestRevision, revision)
        )
    )
    return if (isBehind) heard.askPeer(from, now) else ConfigurationDecision(heard)
}

/**
 * Requests the configuration of [peer] if the log did not deliver the newer revision within
 * [ConfigurationTiming.peerRequestInterval]. A normal publication therefore does not make all
 * instances send each other the lists.
 */
private fun ConfigurationState.askPeer(peer: InstanceId, now: Instant): ConfigurationDecision {
    val behindSince = peers.behindSince ?: now
    val logIsFollowing = phase == ConfigurationPhase.Current &&
        position.readAt?.let { now < it + timing.peerRequestInterval.multipliedBy(2) } == true
    val waits = logIsFollowing && now < behindSince + timing.peerRequestInterval
    return if (waits || !mayAskPeers(now)) {
        ConfigurationDecision(this)
    } else {
        ConfigurationDecision(copy(peers = peers.copy(lastRequestAt = now)))
            .emit(ConfigurationEffect.AskPeer(peer))
    }
}

private fun ConfigurationState.replyTo(peer: InstanceId): ConfigurationDecision =
    checkpoint?.let { ConfigurationDecision(this).emit(ConfigurationEffect.ReplyToPeer(peer, it)) }
        ?: ConfigurationDecision(this)

private fun ConfigurationState.replyHeard(
    reply: PeerMessage.ConfigurationReply,
    now: Instant
): ConfigurationDecision {
    val lists = ListTexts(reply.customers, reply.entitlements)
    return copy(peers = peers.copy(lastHeardAt = now)).adoptIfNewer(
        RevisionCheckpoint(reply.revision, reply.offset, lists),
        ConfigurationCounter.AcceptedFromPeer,
        now
    ).update {
        val confirms = it.inForce.revision == reply.revision
        if (confirms) it.copy(peers = it.peers.copy(confirmedAt = now)) else it
    }
}

/** Adopts [checkpoint] if it is newer, and its position if this instance has lost its own. */
private fun ConfigurationState.adoptIfNewer(
    checkpoint: RevisionCheckpoint,
    source: ConfigurationCounter,
    now: Instant
): ConfigurationDecision = when {
    checkpoint.revision < inForce.revision ->
        ConfigurationDecision(this).count(ConfigurationCounter.StaleBase)
    checkpoint.revision == inForce.revision -> adoptPosition(checkpoint, isNewer = false, now)
    else ->
        reader.read(checkpoint.lists, checkpoint.revision)?.let { next ->
            val adopted = copy(inForce = next, lists = checkpoint.lists)
            ConfigurationDecision(adopted).count(source)
                .then { it.applyUnlessLoading() }
                .then { it.adoptPosition(checkpoint, isNewer = true, now) }
        } ?: ConfigurationDecision(this).count(ConfigurationCounter.RejectedInvalid)
}

/** While loading, the revision is applied by the transition out of the state `loading`. */
private fun ConfigurationState.applyUnlessLoading(): ConfigurationDecision =
    if (phase == ConfigurationPhase.Loading) {
        ConfigurationDecision(this)
    } else {
        ConfigurationDecision(this).emit(ConfigurationEffect.Apply(inForce))
    }

/**
 * Continues from the position of [checkpoint], whose revision is in force here.
 *
 * An instance that follows the log keeps its own position. It may then decide again on a record
 * that led to the revision in force; that record is rejected as stale.
 */
private fun ConfigurationState.adoptPosition(
    checkpoint: RevisionCheckpoint,
    isNewer: Boolean,
    now: Instant
): ConfigurationDecision {
    val at = copy(position = position.copy(nextOffset = checkpoint.nextOffset))
    return when (phase) {
        ConfigurationPhase.Loading -> ConfigurationDecision(at)
        ConfigurationPhase.Current, ConfigurationPhase.Unconfirmed ->
            if (isNewer) at.applyHeldRecords() else ConfigurationDecision(this)
        ConfigurationPhase.Detached ->
            if (checkpoint.nextOffset >= position.retainedFrom) {
                at.step(ConfigurationTrigger.PositionFound, now)
            } else {
                ConfigurationDecision(this)
            }
    }
}

internal fun ConfigurationState.askPeersIfDue(now: Instant): ConfigurationDecision =
    if (mayAskPeers(now)) askPeers(now) else ConfigurationDecision(this)

/** Asks a few peers, different ones each second, so that not all of them send the lists at once. */
internal fun ConfigurationState.askPeers(now: Instant): ConfigurationDecision {
    val others = (peers.members ?: persistentSetOf()).remove(self)
    val round = now.epochSecond
    val asked = others.sortedBy { rendezvousWeight(round, it) }.take(MAX_PEERS_PER_REQUEST)
    val noted = ConfigurationDecision(copy(peers = peers.copy(lastRequestAt = now)))
    return asked.fold(noted) { decision, peer ->
        decision.emit(ConfigurationEffect.AskPeer(peer))
    }
}

private fun ConfigurationState.mayAskPeers(now: Instant): Boolean =
    peers.lastRequestAt?.let { now >= it + timing.peerRequestInterval } ?: true
