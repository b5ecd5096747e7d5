package org.wisteriahinge.core.configuration

import java.time.Instant
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList

/** Most records that are held. Each one contains whole lists, so this limits memory. */
private const val MAX_HELD_RECORDS = 16

internal fun ConfigurationState.loaded(
    event: ConfigurationEvent.Loaded,
    now: Instant
): ConfigurationDecision {
    val known = copy(
        position = position.copy(
            readUpTo = event.readFrom,
            retainedFrom = event.readFrom,
            loaded = true,
            readAt = now
        )
    )
    val based = known.snapshotsRead(event.snapshots, now)
    return based.then {
        val lost = it.phase != ConfigurationPhase.Loading &&
            it.position.nextOffset < event.readFrom
        if (lost) it.step(ConfigurationTrigger.PositionLost, now) else ConfigurationDecision(it)
    }
}

internal fun ConfigurationState.recordsRead(
    records: PersistentList<ConfigurationRecord>,
    now: Instant
): ConfigurationDecision {
    val readUpTo = records.lastOrNull()?.let { it.offset + 1 } ?: position.readUpTo
    val read = copy(position = position.copy(readUpTo = readUpTo, readAt = now))
    return when (phase) {
        ConfigurationPhase.Loading, ConfigurationPhase.Detached ->
            records.fold(ConfigurationDecision(read)) { decision, record ->
                decision.then { it.holdRecord(record) }
            }
        ConfigurationPhase.Current, ConfigurationPhase.Unconfirmed ->
            records.fold(ConfigurationDecision(read)) { decision, record ->
                decision.then { it.decideOn(record, now) }
            }.update { it.copy(position = it.position.copy(nextOffset = readUpTo)) }
    }
}

/** Handles lost records. Held records may be older than the loss, so they are dropped. */
internal fun ConfigurationState.recordsLost(earliest: Long, now: Instant): ConfigurationDecision {
    val lost = copy(
        position = position.copy(readUpTo = earliest, retainedFrom = earliest, readAt = now),
        held = persistentListOf()
    )
    return ConfigurationDecision(lost)
        .count(ConfigurationCounter.PositionLost)
        .then { it.step(ConfigurationTrigger.PositionLost, now) }
}

/** Decides on the held records, starting at the position that is now known. */
internal fun ConfigurationState.applyHeldRecords(): ConfigurationDecision {
    val pending = held.filter { it.offset >= position.nextOffset }
    val folded = pending.fold(ConfigurationDecision(copy(held = persistentListOf()))) { all, next ->
        all.then { it.decideOnRevision(next) }
    }
    return folded.update {
        val reached = maxOf(it.position.nextOffset, it.position.readUpTo)
        it.copy(position = it.position.copy(nextOffset = reached))
    }
}

private fun ConfigurationState.holdRecord(record: ConfigurationRecord): ConfigurationDecision =
    record.revision?.let(::hold)
        ?: ConfigurationDecision(this).count(ConfigurationCounter.RejectedUnreadable)

private fun ConfigurationState.decideOn(
    record: ConfigurationRecord,
    now: Instant
): ConfigurationDecision {
    val revision = record.revision
        ?: return ConfigurationDecision(this).count(ConfigurationCounter.RejectedUnreadable)
    val isAhead = revision.replaces > inForce.revision
    return decideOnRevision(revision).then {
        if (isAhead) it.askPeersIfDue(now) else ConfigurationDecision(it)
    }
}

/**
 * Accepts [published] if it replaces the revision in force and its lists are valid.
 *
 * The first such record in the log wins, so every instance decides the same from the same log. A
 * record that replaces a later revision is held until that revision arrives from a peer or a
 * snapshot.
 */
private fun ConfigurationState.decideOnRevision(
    published: PublishedRevision
): ConfigurationDecision = when {
    published.replaces < inForce.revision ->
        ConfigurationDecision(this).count(ConfigurationCounter.RejectedStale)
    published.replaces > inForce.revision -> hold(published)
    else ->
        reader.read(published.lists, published.number)?.let { next ->
            ConfigurationDecision(copy(inForce = next, lists = published.lists))
                .count(ConfigurationCounter.AcceptedFromLog)
                .emit(ConfigurationEffect.Apply(next))
        } ?: ConfigurationDecision(this).count(ConfigurationCounter.RejectedInvalid)
}

private fun ConfigurationState.hold(published: PublishedRevision): ConfigurationDecision {
    val all = held.add(published)
    if (all.size <= MAX_HELD_RECORDS) return ConfigurationDecision(copy(held = all))
    val keptRecords = all.takeLast(MAX_HELD_RECORDS).toPersistentList()
    return ConfigurationDecision(copy(held = keptRecords)).count(ConfigurationCounter.HeldDropped)
}
