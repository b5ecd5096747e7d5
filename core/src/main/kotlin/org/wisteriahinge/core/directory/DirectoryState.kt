package org.wisteriahinge.core.directory

import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.toPersistentList
import org.wisteriahinge.core.model.ListedTargets
import org.wisteriahinge.core.model.Target
import org.wisteriahinge.core.model.TargetId
import org.wisteriahinge.core.watch.WatchUpdate

/**
 * Time after the last failed read for which a removal proves nothing.
 *
 * Entries expire while the registry is away, and targets that live write them again within two
 * seconds of its return. An instance that alone was cut off must heed removals after 3 s.
 */
private val REREGISTRATION_TIME: Duration = Duration.ofMillis(2_200)

/** What is known of one target. It is used until [expiresAt] although its entry was removed. */
public data class RegisteredTarget(
    val offset: Long,
    val entry: TargetEntry,
    val coldUntil: Instant?,
    val expiresAt: Instant? = null
)

/** Whether the registry can be read. */
public sealed interface RegistryConnection {
    /** It never could. */
    public data object NeverConnected : RegistryConnection

    /** It can; the last read that failed began at [lastFailureAt]. */
    public data class Up(val lastFailureAt: Instant?) : RegistryConnection

    /** It cannot at the moment; the last list holds. */
    public data object Down : RegistryConnection
}

/**
 * The targets that the registry lists.
 *
 * [offsets] are those of the newest record of each id, removed ones included, so that an older
 * word never replaces a newer one.
 */
public data class DirectoryState(
    val connection: RegistryConnection = RegistryConnection.NeverConnected,
    val registered: PersistentMap<TargetId, RegisteredTarget> = persistentHashMapOf(),
    val offsets: PersistentMap<TargetId, Long> = persistentHashMapOf()
) {
    /** Takes over [update] of the registry at [now]. */
    public fun decide(update: WatchUpdate<DirectoryRecord>, now: Instant): DirectoryState =
        when (update) {
            WatchUpdate.Lost -> copy(connection = afterLoss())
            is WatchUpdate.Regained ->
                copy(connection = RegistryConnection.Up(update.lastFailureAt))
            is WatchUpdate.Newest -> withNewest(update.records, now)
            is WatchUpdate.Changes -> update.records.fold(this) { state, record ->
                state.withRecord(record, now)
            }
        }.withoutExpired(now)

    /** The targets that may get new work. */
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
        val newest = offsets[record.id]
        if (newest != null && newest >= record.offset) return this
        val seen = copy(offsets = offsets.put(record.id, record.offset))
        return when (record) {
            is DirectoryRecord.Listed -> seen.listed(record, now)
            is DirectoryRecord.Removed -> seen.removed(record.id, now)
            is DirectoryRecord.Unusable -> seen.copy(registered = registered.remove(record.id))
        }
    }

    private fun listed(record: DirectoryRecord.Listed, now: Instant): DirectoryState {
        val before = registered[record.id]
        val coldUntil = when {
            record.entry.coldFor.isZero -> null
            // Each entry repeats what is left, which differs by the time that it was on its way.
            before?.coldUntil != null && before.entry.startedAt == record.entry.startedAt ->
                before.coldUntil
            else -> now + record.entry.coldFor
        }
        val next = RegisteredTarget(record.offset, record.entry, coldUntil)
        return copy(registered = registered.put(record.id, next))
    }

    private fun removed(id: TargetId, now: Instant): DirectoryState {
        val target = registered[id] ?: return this
        val expiresAt = removalsIgnoredUntil(now) ?: return copy(registered = registered.remove(id))
        val expiring = target.copy(expiresAt = target.expiresAt ?: expiresAt)
        return copy(registered = registered.put(id, expiring))
    }

    /** Until when a removal proves nothing; null when it does. */
    private fun removalsIgnoredUntil(now: Instant): Instant? = when (connection) {
        RegistryConnection.NeverConnected -> null
        RegistryConnection.Down -> now + REREGISTRATION_TIME
        is RegistryConnection.Up ->
            connection.lastFailureAt?.plus(REREGISTRATION_TIME)?.takeIf { it > now }
    }

    private fun withoutExpired(now: Instant): DirectoryState {
        val expired = registered.entries.filter { (_, target) -> target.hasExpired(now) }
        if (expired.isEmpty()) return this
        return copy(registered = expired.fold(registered) { all, (id, _) -> all.remove(id) })
    }

    /** An address that was given to another target is that of the newer entry. */
    private fun newestOfEachAddress(): List<Map.Entry<TargetId, RegisteredTarget>> =
        registered.entries.groupBy { it.value.entry.address }
            .values.mapNotNull { same -> same.maxByOrNull { it.value.offset } }
}

private fun RegisteredTarget.hasExpired(now: Instant): Boolean =
    expiresAt?.let { it <= now } == true

private fun TargetEntry.isReady(): Boolean = when (readiness) {
    TargetReadiness.Ready -> true
    TargetReadiness.Draining -> false
}

private fun RegisteredTarget.toTarget(id: TargetId) =
    Target(id, entry.zone, entry.address, entry.slots, coldUntil)
