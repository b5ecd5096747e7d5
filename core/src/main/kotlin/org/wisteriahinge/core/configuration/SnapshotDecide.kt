package org.wisteriahinge.core.configuration

import java.security.MessageDigest
import java.time.Instant
import java.util.HexFormat
import kotlinx.collections.immutable.persistentSetOf
import org.wisteriahinge.core.model.InstanceId

/** Records after the newest snapshot that a start may have to read before a new one is due. */
private const val MAX_RECORDS_AFTER_SNAPSHOT = 64L

internal fun ConfigurationState.snapshotWriteEnded(succeeded: Boolean): ConfigurationDecision =
    ConfigurationDecision(this).count(
        if (succeeded) {
            ConfigurationCounter.SnapshotWritten
        } else {
            ConfigurationCounter.SnapshotFailed
        }
    )

/**
 * Writes a snapshot when one is due and the turn of this instance has come.
 *
 * The turns are one [ConfigurationTiming.takeoverDelay] apart. Whoever reads the new snapshot in
 * the meantime finds that none is due any more, so that only one instance writes.
 */
internal fun ConfigurationState.writeSnapshotIfDue(now: Instant): ConfigurationDecision {
    val since = if (needsSnapshot(now)) snapshots.dueSince ?: now else null
    val noted = copy(snapshots = snapshots.copy(dueSince = since))
    return checkpoint?.takeIf { noted.isTurnToWrite(now) }?.let { checkpoint ->
        val attempted = noted.copy(snapshots = noted.snapshots.copy(lastAttemptAt = now))
        ConfigurationDecision(attempted).emit(ConfigurationEffect.WriteSnapshot(checkpoint, now))
    } ?: ConfigurationDecision(noted)
}

private fun ConfigurationState.isTurnToWrite(now: Instant): Boolean {
    val since = snapshots.dueSince ?: return false
    val turn = since + timing.takeoverDelay.multipliedBy(rankAmongWriters().toLong())
    return now >= turn && !attemptedRecently(now)
}

private fun ConfigurationState.needsSnapshot(now: Instant): Boolean {
    val newest = snapshots.newest
    val mayWrite = phase == ConfigurationPhase.Current && position.loaded && lists != null
    return mayWrite && when {
        newest == null -> true
        now >= newest.writtenAt + timing.snapshotAge -> true
        else -> position.nextOffset - newest.nextOffset >= MAX_RECORDS_AFTER_SNAPSHOT
    }
}

/** A failed append may have taken effect; it is found by reading before it is repeated. */
private fun ConfigurationState.attemptedRecently(now: Instant): Boolean =
    snapshots.lastAttemptAt?.let { now < it + timing.takeoverDelay } == true

/** Rendezvous order of the live instances for the next snapshot. */
private fun ConfigurationState.rankAmongWriters(): Int {
    val members = (peers.members ?: persistentSetOf()).add(self)
    val slot = snapshots.newest?.streamOffset ?: -1
    val own = rendezvousWeight(slot, self)
    return members.count { it != self && rendezvousWeight(slot, it) > own }
}

internal fun rendezvousWeight(slot: Long, member: InstanceId): String {
    val input = "$slot/${member.value}".encodeToByteArray()
    return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(input))
}
