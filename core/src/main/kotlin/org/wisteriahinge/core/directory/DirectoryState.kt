package org.wisteriahinge.core.directory

import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.toPersistentList
import org.wisteriahinge.core.model.ListedTargets
import org.wisteriahinge.core.model.Target
import org.wisteriahinge.core.model.TargetId
import org.wisteriahinge.core.watch.WatchNews

/**
 * Time after the last failed read for which a removal proves nothing.
 *
 * Entries expire while the registry is away, and targets that live write them again within two
 * seconds of its return. An instance that alone was cut off must heed removals after 3 s.
 */
private val REENTRY_TIME: Duration = Duration.ofMillis(2_200)

/** What is known of one target. It is used until [lapsesAt] although its entry was removed. */
public data class KnownTarget(
    val offset: Long,
    val entry: TargetEntry,
    val coldUntil: Instant?,
    val lapsesAt: Instant? = null
)

/** Whether the registry can be read. */
public sealed interface RegistryLink {
    /** It never could. */
    public data object Unread : RegistryLink

    /** It can; the last read that failed began at [lastFailureAt]. */
    public data class Up(val lastFailureAt: Instant?) : RegistryLink

    /** It cannot at the moment; the last list holds. */
    public data object Down : RegistryLink
}

/**
 * The targets that the registry lists.
 *
 * [offsets] are those of the newest record of each id, removed ones included, so that an older
 * word never replaces a newer one.
 */
public data class DirectoryState(
    val link: RegistryLink = RegistryLink.Unread,
    val known: PersistentMap<TargetId, KnownTarget> = persistentHashMapOf(),
    val offsets: PersistentMap<TargetId, Long> = persistentHashMapOf()
) {
    /** Takes over [news] of the registry at [now]. */
    public fun decide(news: WatchNews<DirectoryRecord>, now: Instant): DirectoryState =
        when (news) {
            WatchNews.Lost -> copy(link = lost())
            is WatchNews.Regained -> copy(link = RegistryLink.Up(news.lastFailureAt))
            is WatchNews.Newest -> replaced(news.records, now)
            is WatchNews.Changes -> news.records.fold(this) { state, record ->
                state.noted(record, now)
            }
        }.withoutLapsed(now)

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

    private fun lost(): RegistryLink = when (link) {
        RegistryLink.Unread -> RegistryLink.Unread
        is RegistryLink.Up, RegistryLink.Down -> RegistryLink.Down
    }

    private fun replaced(records: List<DirectoryRecord>, now: Instant): DirectoryState {
        val listed = records.map { it.id }.toSet()
        val missing = known.keys.filter { it !in listed }
        val noted = records.fold(this) { state, record -> state.noted(record, now) }
        return missing.fold(noted) { state, id -> state.removed(id, now) }
    }

    private fun noted(record: DirectoryRecord, now: Instant): DirectoryState {
        val newest = offsets[record.id]
        if (newest != null && newest >= record.offset) return this
        val seen = copy(offsets = offsets.put(record.id, record.offset))
        return when (record) {
            is DirectoryRecord.Listed -> seen.listed(record, now)
            is DirectoryRecord.Removed -> seen.removed(record.id, now)
            is DirectoryRecord.Unusable -> seen.copy(known = known.remove(record.id))
        }
    }

    private fun listed(record: DirectoryRecord.Listed, now: Instant): DirectoryState {
        val before = known[record.id]
        val coldUntil = when {
            record.entry.coldFor.isZero -> null
            // Each entry repeats what is left, which differs by the time that it was on its way.
            before?.coldUntil != null && before.entry.bornAt == record.entry.bornAt ->
                before.coldUntil
            else -> now + record.entry.coldFor
        }
        val next = KnownTarget(record.offset, record.entry, coldUntil)
        return copy(known = known.put(record.id, next))
    }

    private fun removed(id: TargetId, now: Instant): DirectoryState {
        val target = known[id] ?: return this
        val lapsesAt = reentryEnd(now) ?: return copy(known = known.remove(id))
        return copy(known = known.put(id, target.copy(lapsesAt = target.lapsesAt ?: lapsesAt)))
    }

    /** Until when a removal proves nothing; null when it does. */
    private fun reentryEnd(now: Instant): Instant? = when (link) {
        RegistryLink.Unread -> null
        RegistryLink.Down -> now + REENTRY_TIME
        is RegistryLink.Up -> link.lastFailureAt?.plus(REENTRY_TIME)?.takeIf { it > now }
    }

    private fun withoutLapsed(now: Instant): DirectoryState {
        val lapsed = known.entries.filter { (_, target) -> target.hasLapsed(now) }
        if (lapsed.isEmpty()) return this
        return copy(known = lapsed.fold(known) { all, (id, _) -> all.remove(id) })
    }

    /** An address that was given to another target is that of the newer entry. */
    private fun newestOfEachAddress(): List<Map.Entry<TargetId, KnownTarget>> =
        known.entries.groupBy { it.value.entry.address }
            .values.mapNotNull { same -> same.maxByOrNull { it.value.offset } }
}

private fun KnownTarget.hasLapsed(now: Instant): Boolean = lapsesAt?.let { it <= now } == true

private fun TargetEntry.isReady(): Boolean = when (standing) {
    TargetStanding.Ready -> true
    TargetStanding.Draining -> false
}

private fun KnownTarget.toTarget(id: TargetId) =
    Target(id, entry.zone, entry.address, entry.slots, coldUntil)
