package org.wisteriahinge.core.configuration

import java.security.MessageDigest
import java.time.Instant
import java.util.HexFormat
import kotlinx.collections.immutable.persistentSetOf
import org.wisteriahinge.core.model.InstanceId

/** A new snapshot is due after this many records, which limits what a starting instance reads. */
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
 * Writes a snapshot when one is due and this instance's turn has come.
 *
 * Turns are [ConfigurationTiming.takeoverDelay] apart. An instance that reads the new snapshot
 * before its turn finds that none is due any more, so usually only one instance writes.
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

/** A failed append may still have taken effect, so there is time to read it back first. */
private fun ConfigurationState.attemptedRecently(now: Instant): Boolean =
    snapshots.lastAttemptAt?.let { now < it + timing.takeoverDelay } == true

/** Rank of this instance among the live ones for the next snapshot, by rendezvous hashing. */
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
