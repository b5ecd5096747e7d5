package org.wisteriahinge.core.directory

import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.toPersistentList
import org.wisteriahinge.core.model.ListedTargets
import org.wisteriahinge.core.model.Target
import org.wisteriahinge.core.model.TargetId
import org.wisteriahinge.core.watch.TopicPosition
import org.wisteriahinge.core.watch.WatchUpdate

/**
 * Time after the last failed read during which removals are not applied.
 *
 * Entries expire during an outage of the registry, and live targets register again within 2 s of
 * its return. If only this instance was cut off, removals must take effect within 3 s.
 */
private val REREGISTRATION_TIME: Duration = Duration.ofMillis(2_200)

/**
 * A target with its newest entry, which was read at [position].
 *
 * It gets no requests before [usableFrom]. [expiresAt] is set when the entry was removed during or
 * just after an outage; the target is used until then unless it registers again.
 */
public data class RegisteredTarget(
    val position: TopicPosition,
    val entry: TargetEntry,
    val coldUntil: Instant?,
    val expiresAt: Instant? = null,
    val usableFrom: Instant? = null
)

/** The connection to the registry. */
public sealed interface RegistryConnection {
    /** The registry was never read. */
    public data object NeverConnected : RegistryConnection

    /** The last read succeeded. The last failed read, if any, began at [lastFailureAt]. */
    public data class Up(val lastFailureAt: Instant?) : RegistryConnection

    /** The last read failed; the targets read before are kept. */
    public data object Down : RegistryConnection
}

/**
 * The targets in the registry.
 *
 * [positions] holds the position of the newest record of each id, including removed ones, so that
 * an older record never replaces a newer one. After the registry came back from an older copy,
 * until [settledAt], targets write their entries again: none is removed because it is missing, and
 * none that had left is used because the copy lists it.
 */
public data class DirectoryState(
    val connection: RegistryConnection = RegistryConnection.NeverConnected,
    val registered: PersistentMap<TargetId, RegisteredTarget> = persistentHashMapOf(),
    val positions: PersistentMap<TargetId, TopicPosition> = persistentHashMapOf(),
    val settledAt: Instant = Instant.EPOCH
) {
    /** Applies [update], which was read from the registry at [now]. */
    public fun decide(update: WatchUpdate<DirectoryRecord>, now: Instant): DirectoryState =
        when (update) {
            WatchUpdate.Lost -> copy(connection = afterLoss())
            is WatchUpdate.Regained ->
                copy(connection = RegistryConnection.Up(update.lastFailureAt))
            is WatchUpdate.Newest -> settlingAfter(update, now).withNewest(update.records, now)
            is WatchUpdate.Changes -> update.records.fold(this) { state, record ->
                state.withRecord(record, now)
            }
        }.withoutExpired(now).withUsable(now)

    private fun settlingAfter(
        update: WatchUpdate.Newest<DirectoryRecord>,
        now: Instant
    ): DirectoryState = if (update.isRestored) copy(settledAt = now + REREGISTRATION_TIME) else this

    /** The targets that may get new requests. */
    public fun listing(): ListedTargets {
        val usable = newestOfEachAddress()
            .filter { it.value.entry.isReady() }
            .sortedBy { it.key.value }
        return ListedTargets(
            usable.groupBy({ it.value.entry.service }, { it.value.toTarget(it.key) })
                .entries
                .fold(persistentHashMapOf()) { all, (service, targets) ->
                    all.put(service, targets.toPersistentList())
                }
        )
    }

    private fun afterLoss(): RegistryConnection = when (connection) {
        RegistryConnection.NeverConnected -> RegistryConnection.NeverConnected
        is RegistryConnection.Up, RegistryConnection.Down -> RegistryConnection.Down
    }

    private fun withNewest(records: List<DirectoryRecord>, now: Instant): DirectoryState {
        val listed = records.map { it.id }.toSet()
        val missing = registered.keys.filter { it !in listed }
        val updated = records.fold(this) { state, record -> state.withRecord(record, now) }
        return missing.fold(updated) { state, id -> state.removed(id, now) }
    }

    private fun withRecord(record: DirectoryRecord, now: Instant): DirectoryState {
        val newest = positions[record.id]
        if (newest != null && newest >= record.position) return this
        val seen = copy(positions = positions.put(record.id, record.position))
        return when (record) {
            is DirectoryRecord.Listed -> seen.listed(record, now, wasSeen = newest != null)
            is DirectoryRecord.Removed -> seen.removed(record.id, now)
            is DirectoryRecord.Unusable -> seen.copy(registered = registered.remove(record.id))
        }
    }

    private fun listed(
        record: DirectoryRecord.Listed,
        now: Instant,
        wasSeen: Boolean
    ): DirectoryState {
        val before = registered[record.id]
        val coldUntil = when {
            record.entry.coldFor.isZero -> null
            // Entries repeat the remaining time, and their delays differ: the first one counts.
            before?.coldUntil != null && before.entry.startedAt == record.entry.startedAt ->
                before.coldUntil
            else -> now + record.entry.coldFor
        }
        val usableFrom = settledAt.takeIf { it > now && wasSeen && mayHaveLeft(before, record) }
        val next = RegisteredTarget(
            record.position,
            record.entry,
            coldUntil,
            usableFrom = usableFrom
        )
        return copy(registered = registered.put(record.id, next))
    }

    /** Whether [record] may be an old one of a target that was known [before] to leave, or gone. */
    private fun mayHaveLeft(before: RegisteredTarget?, record: DirectoryRecord.Listed): Boolean {
        if (before == null) return true
        if (before.entry.startedAt != record.entry.startedAt) return false
        return !before.entry.isReady() || before.usableFrom != null
    }

    private fun removed(id: TargetId, now: Instant): DirectoryState {
        val target = registered[id] ?: return this
        val expiresAt = removalsIgnoredUntil(now) ?: return copy(registered = registered.remove(id))
        val expiring = target.copy(expiresAt = target.expiresAt ?: expiresAt)
        return copy(registered = registered.put(id, expiring))
    }

    /** The time until which removals are not applied; null if they are applied now. */
    private fun removalsIgnoredUntil(now: Instant): Instant? {
        val reconnected = when (connection) {
            RegistryConnection.NeverConnected -> null
            RegistryConnection.Down -> now + REREGISTRATION_TIME
            is RegistryConnection.Up -> connection.lastFailureAt?.plus(REREGISTRATION_TIME)
        }
        return listOfNotNull(reconnected, settledAt).max().takeIf { it > now }
    }

    private fun withUsable(now: Instant): DirectoryState {
        val due = registered.entries.filter { (_, target) ->
            target.usableFrom?.let { it <= now } == true
        }
        if (due.isEmpty()) return this
        val usable = due.fold(registered) { all, (id, target) ->
            all.put(id, target.copy(usableFrom = null))
        }
        return copy(registered = usable)
    }

    private fun withoutExpired(now: Instant): DirectoryState {
        val expired = registered.entries.filter { (_, target) -> target.hasExpired(now) }
        if (expired.isEmpty()) return this
        return copy(registered = expired.fold(registered) { all, (id, _) -> all.remove(id) })
    }

    /** One target for each address: when an address is reused, the one with the newest entry. */
    private fun newestOfEachAddress(): List<Map.Entry<TargetId, RegisteredTarget>> =
        registered.entries.filter { it.value.usableFrom == null }
            .groupBy { it.value.entry.address }
            .values.mapNotNull { same -> same.maxByOrNull { it.value.position } }
}

private fun RegisteredTarget.hasExpired(now: Instant): Boolean =
    expiresAt?.let { it <= now } == true

private fun TargetEntry.isReady(): Boolean = when (readiness) {
    TargetReadiness.Ready -> true
    TargetReadiness.Draining -> false
}

private fun RegisteredTarget.toTarget(id: TargetId) =
    Target(id, entry.zone, entry.address, entry.slots, coldUntil, entry.startedAt)
