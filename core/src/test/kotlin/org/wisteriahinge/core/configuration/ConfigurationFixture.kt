package org.wisteriahinge.core.configuration

import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.wisteriahinge.core.membership.PeerMessage
import org.wisteriahinge.core.membership.PeerPhase
import org.wisteriahinge.core.model.Address
import org.wisteriahinge.core.model.Configuration
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.core.model.RevisionNumber
import org.wisteriahinge.core.model.Zone

internal val START: Instant = Instant.parse("2026-01-01T00:00:00Z")
internal val SELF = InstanceId("instance-a")
internal val PEER = InstanceId("instance-b")
internal const val INVALID = "invalid"

internal fun listsOf(text: String) = ListTexts(text, text)

internal fun record(offset: Long, replaces: Long, text: String = "lists-$offset") =
    ConfigurationRecord(
        offset,
        PublishedRevision(offset, "id-$offset", RevisionNumber(replaces), listsOf(text))
    )

internal fun checkpoint(revision: Long, nextOffset: Long, text: String = "base-$revision") =
    RevisionCheckpoint(RevisionNumber(revision), nextOffset, listsOf(text))

internal fun snapshot(
    streamOffset: Long,
    checkpoint: RevisionCheckpoint,
    writtenAt: Instant = START
) = SnapshotRecord(streamOffset, writtenAt, checkpoint)

internal fun heartbeat(revision: Long, from: InstanceId = PEER) = ConfigurationEvent.PeerHeard(
    PeerMessage.Heartbeat(
        from,
        Address("10.0.0.2", 7000),
        Zone("zone-a"),
        1,
        PeerPhase.Serving,
        RevisionNumber(revision),
        persistentListOf(),
        persistentListOf()
    )
)

internal fun reply(checkpoint: RevisionCheckpoint) = ConfigurationEvent.PeerHeard(
    PeerMessage.ConfigurationReply(
        PEER,
        checkpoint.revision,
        checkpoint.nextOffset,
        checkpoint.lists.customers,
        checkpoint.lists.entitlements
    )
)

internal fun recordsRead(vararg records: ConfigurationRecord) =
    ConfigurationEvent.RecordsRead(records.toList().toPersistentList())

internal fun loaded(
    vararg snapshots: SnapshotRecord,
    earliest: Long = 0,
    readFrom: Long = earliest
) = ConfigurationEvent.Loaded(snapshots.toList().toPersistentList(), earliest, readFrom)

/** An instance under test with all effects so far. */
internal data class Subject(
    val state: ConfigurationState,
    val now: Instant = START,
    val effects: PersistentList<ConfigurationEffect> = persistentListOf()
) {
    val revision: Long get() = state.inForce.revision.value
    val applied: List<Long>
        get() = effects.filterIsInstance<ConfigurationEffect.Apply>()
            .map { it.configuration.revision.value }
    val snapshotsWritten: Int get() = effects.count { it is ConfigurationEffect.WriteSnapshot }

    fun on(vararg events: ConfigurationEvent): Subject = events.fold(this) { subject, event ->
        val decision = subject.state.decide(event, subject.now)
        subject.copy(state = decision.state, effects = subject.effects.addAll(decision.effects))
    }

    fun after(delay: Duration, vararg events: ConfigurationEvent): Subject =
        copy(now = now + delay).on(*events)

    fun afterMillis(millis: Long, vararg events: ConfigurationEvent): Subject =
        after(Duration.ofMillis(millis), *events)
}

internal fun subject(
    self: InstanceId = SELF,
    timing: ConfigurationTiming = ConfigurationTiming(),
    expectsPeers: Boolean = true
) = Subject(
    ConfigurationState(
        self = self,
        reader = { lists, revision ->
            Configuration.Empty.copy(revision = revision).takeIf { lists.customers != INVALID }
        },
        startedAt = START,
        expectsPeers = expectsPeers,
        timing = timing
    )
)

/** An instance without peers that has read an empty, complete log. */
internal fun aloneOnEmptyLog() = subject(expectsPeers = false).on(loaded())
