package org.wisteriahinge.bench.configuration

import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentSet
import org.wisteriahinge.bench.policy.EventHeap
import org.wisteriahinge.bench.policy.add
import org.wisteriahinge.core.configuration.ConfigurationEffect
import org.wisteriahinge.core.configuration.ConfigurationEvent
import org.wisteriahinge.core.configuration.ConfigurationRecord
import org.wisteriahinge.core.configuration.ListTexts
import org.wisteriahinge.core.configuration.PublishedRevision
import org.wisteriahinge.core.configuration.SnapshotRecord
import org.wisteriahinge.core.configuration.decide
import org.wisteriahinge.core.membership.PeerMessage
import org.wisteriahinge.core.membership.PeerPhase
import org.wisteriahinge.core.model.Address
import org.wisteriahinge.core.model.RevisionNumber
import org.wisteriahinge.core.model.Zone

internal const val INSTANCES = 18
private const val PEER_MICROS = 1_500L
private const val HEARTBEAT_MICROS = 1_000_000L
private const val LOG_MICROS = 500_000L
private const val LONG_POLL_MICROS = 1_000_000L
private const val POLL_MICROS = 10_000L
private val EPOCH: Instant = Instant.parse("2026-01-01T00:00:00Z")

/**
 * The decisions of 18 instances on a virtual clock, with a log that takes 500 ms for each
 * operation and peers that are 1.5 ms apart. A read waits up to 1 s for a record.
 */
internal data class ConfigSpread(
    val nowMicros: Long = 0,
    val events: EventHeap<SpreadEvent> = EventHeap.Empty,
    val sequence: Long = 0,
    val log: VirtualLog = VirtualLog(),
    val instances: PersistentList<SpreadInstance> = (0 until INSTANCES)
        .map { newInstance(it, 0, EPOCH) }.toPersistentList(),
    val publishedAt: PersistentMap<Long, Instant> = persistentHashMapOf()
) {
    private val now: Instant get() = EPOCH.plusNanos(nowMicros * 1_000)

    fun schedule(delayMicros: Long, event: SpreadEvent): ConfigSpread = copy(
        events = events.add(nowMicros + delayMicros, sequence, event),
        sequence = sequence + 1
    )

    /** Handles events until [untilMicros]. */
    fun run(untilMicros: Long): ConfigSpread = runUntil(this, untilMicros)

    private tailrec fun runUntil(current: ConfigSpread, untilMicros: Long): ConfigSpread {
        val next = current.events as? EventHeap.Node ?: return current
        if (next.atMicros > untilMicros) return current
        val at = current.copy(nowMicros = next.atMicros, events = next.rest())
        return runUntil(at.handle(next.value), untilMicros)
    }

    private fun handle(event: SpreadEvent): ConfigSpread = when (event) {
        is SpreadEvent.Published -> published(event.revision)
        is SpreadEvent.SnapshotAppended -> copy(
            log = log.copy(
                snapshots = log.snapshots.add(
                    SnapshotRecord(log.snapshots.size.toLong(), now, event.checkpoint)
                )
            )
        )
        is SpreadEvent.ReadStarted -> startRead(event.instance)
        is SpreadEvent.ReadServed -> serveRead(event.instance, event.deadlineMicros)
        is SpreadEvent.Delivered ->
            if (instances[event.instance].incarnation == event.incarnation) {
                decide(event.instance, event.event)
            } else {
                this
            }
        is SpreadEvent.HeartbeatDue -> heartbeat(event.instance)
        is SpreadEvent.Restarted -> restart(event.instance)
    }

    /** The first publication that replaces a revision is the accepted one. */
    private fun published(revision: PublishedRevision): ConfigSpread {
        val offset = log.revisions.size.toLong()
        val record = ConfigurationRecord(
            offset,
            revision.copy(offset = offset)
        )
        val number = revision.number.value
        return copy(
            log = log.copy(revisions = log.revisions.add(record)),
            publishedAt = if (number in publishedAt) publishedAt else publishedAt.put(number, now)
        )
    }

    private fun startRead(index: Int): ConfigSpread = if (instances[index].loaded) {
        val deadline = nowMicros + LOG_MICROS + LONG_POLL_MICROS
        schedule(LOG_MICROS, SpreadEvent.ReadServed(index, deadline))
    } else {
        load(index)
    }

    /** A read without records is followed by a look at the bounds, as in RestartDetectingLog. */
    private fun serveRead(index: Int, deadlineMicros: Long): ConfigSpread {
        val instance = instances[index]
        val records = log.revisionsFrom(instance.readFrom).toPersistentList()
        val snapshots = log.snapshotsFrom(instance.snapshotsFrom).toPersistentList()
        return when {
            !instance.loaded -> startRead(index)
            records.isEmpty() && snapshots.isEmpty() && nowMicros < deadlineMicros ->
                schedule(POLL_MICROS, SpreadEvent.ReadServed(index, deadlineMicros))
            else -> replace(
                index,
                instance.copy(
                    readFrom = instance.readFrom + records.size,
                    snapshotsFrom = instance.snapshotsFrom + snapshots.size
                )
            )
                .deliver(index, 0, ConfigurationEvent.SnapshotsRead(snapshots))
                .deliver(index, 0, ConfigurationEvent.RecordsRead(records))
                .schedule(
                    if (records.isEmpty()) LOG_MICROS else 0,
                    SpreadEvent.ReadStarted(index)
                )
        }
    }

    private fun load(index: Int): ConfigSpread {
        val newest = log.snapshots.takeLast(4).toPersistentList()
        val from = newest.maxByOrNull { it.checkpoint.revision }?.checkpoint?.nextOffset ?: 0
        val loaded = instances[index].copy(
            loaded = true,
            readFrom = from,
            snapshotsFrom = log.snapshots.size.toLong()
        )
        // Bounds and records of the snapshots, then the bounds of the revisions.
        return replace(index, loaded)
            .deliver(index, 3 * LOG_MICROS, ConfigurationEvent.Loaded(newest, 0, from))
            .schedule(3 * LOG_MICROS, SpreadEvent.ReadStarted(index))
    }

    private fun heartbeat(index: Int): ConfigSpread {
        val instance = instances[index]
        val message = PeerMessage.Heartbeat(
            instance.state.self,
            Address("10.0.0.$index", 8082),
            Zone("zone"),
            nowMicros,
            PeerPhase.Serving,
            instance.state.reported.revision,
            persistentListOf(),
            persistentListOf()
        )
        val sent = instances.indices.filter { it != index }.fold(this) { all, peer ->
            all.deliver(peer, PEER_MICROS, ConfigurationEvent.PeerHeard(message))
        }
        return sent.decide(index, ConfigurationEvent.Ticked)
            .schedule(HEARTBEAT_MICROS, SpreadEvent.HeartbeatDue(index))
    }

    private fun restart(index: Int): ConfigSpread {
        val old = instances[index]
        val fresh = newInstance(index, old.incarnation + 1, now)
            .copy(appliedAt = old.appliedAt, highest = old.highest, reverted = old.reverted)
        return replace(index, fresh).announceMembers()
    }

    fun announceMembers(): ConfigSpread {
        val members = instances.map { it.state.self }.toPersistentSet()
        return instances.indices.fold(this) { all, index ->
            all.deliver(index, PEER_MICROS, ConfigurationEvent.MembersChanged(members))
        }
    }

    private fun replace(index: Int, instance: SpreadInstance) =
        copy(instances = instances.set(index, instance))

    private fun deliver(index: Int, delayMicros: Long, event: ConfigurationEvent) =
        schedule(delayMicros, SpreadEvent.Delivered(index, instances[index].incarnation, event))

    private fun decide(index: Int, event: ConfigurationEvent): ConfigSpread {
        val decision = instances[index].state.decide(event, now)
        val decided = replace(index, instances[index].copy(state = decision.state))
        return decision.effects.fold(decided) { all, effect -> all.perform(index, effect) }
    }

    private fun perform(index: Int, effect: ConfigurationEffect): ConfigSpread = when (effect) {
        is ConfigurationEffect.Apply ->
            replace(index, instances[index].apply(effect.configuration.revision.value, now))
        is ConfigurationEffect.WriteSnapshot ->
            schedule(LOG_MICROS, SpreadEvent.SnapshotAppended(index, effect.checkpoint))
        is ConfigurationEffect.AskPeer -> send(
            instances.indexOfFirst { it.state.self == effect.to },
            PeerMessage.ConfigurationRequest(instances[index].state.self)
        )
        is ConfigurationEffect.ReplyToPeer -> send(
            instances.indexOfFirst { it.state.self == effect.to },
            PeerMessage.ConfigurationReply(
                instances[index].state.self,
                effect.checkpoint.revision,
                effect.checkpoint.nextOffset,
                effect.checkpoint.lists.customers,
                effect.checkpoint.lists.entitlements
            )
        )
        is ConfigurationEffect.Report, is ConfigurationEffect.Count -> this
    }

    private fun send(to: Int, message: PeerMessage): ConfigSpread =
        if (to < 0) this else deliver(to, PEER_MICROS, ConfigurationEvent.PeerHeard(message))

    /** Longest time from an accepted append until the revision, or a later one, was in force. */
    fun maxSpread(): Duration = publishedAt.entries.maxOf { (number, at) ->
        instances.maxOf { instance ->
            instance.appliedAt.filterKeys { it >= number }.values.minOrNull()
                ?.let { Duration.between(at, it) } ?: Duration.between(at, now)
        }
    }
}

/** A publication whose lists are named after it. */
internal fun publication(id: String, replaces: Long) = PublishedRevision(
    offset = 0,
    publicationId = id,
    replaces = RevisionNumber(replaces),
    lists = ListTexts(id, id)
)
