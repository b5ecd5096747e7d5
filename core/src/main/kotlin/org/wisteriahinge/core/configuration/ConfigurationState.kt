package org.wisteriahinge.core.configuration

import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import org.wisteriahinge.core.model.Configuration
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.core.model.RevisionNumber

/** Periods that the decisions on the configuration use. */
public data class ConfigurationTiming(
    /** How long the log keeps records. */
    val retention: Duration = Duration.ofHours(24),
    /** How long a start waits for a first word from a peer before it applies the log's answer. */
    val startGracePeriod: Duration = Duration.ofSeconds(2),
    /**
     * How long an instance that lost its position waits for a better informed one. It covers
     * several heartbeats and a slow operation on the log.
     */
    val repositionTimeout: Duration = Duration.ofSeconds(5),
    /** How long one confirmation holds: the log is read and peers are heard every second. */
    val confirmationValidity: Duration = Duration.ofSeconds(10),
    /** Shortest time between two requests to peers. */
    val peerRequestInterval: Duration = Duration.ofSeconds(1)
) {
    /** Age at which a snapshot is rewritten: half of the quarter of retention it must not reach. */
    val snapshotAge: Duration get() = retention.dividedBy(8)

    /** Delay for each place in the order of writers, longer than a slow append and its reading. */
    val takeoverDelay: Duration get() = minOf(Duration.ofSeconds(10), retention.dividedBy(64))
}

/** What is known of the stream of snapshots. */
public data class SnapshotStatus(
    /** The newest snapshot; null when the stream has none that can be used. */
    val newest: SnapshotHeader? = null,
    /** When a new snapshot was first found to be needed. */
    val dueSince: Instant? = null,
    /** When this instance last began to append one. */
    val lastAttemptAt: Instant? = null
)

/** A snapshot without its lists. */
public data class SnapshotHeader(
    val streamOffset: Long,
    val writtenAt: Instant,
    val revision: RevisionNumber,
    val nextOffset: Long
)

/** What is known of the other instances. */
public data class PeerRevisionStatus(
    /** The live instances, this one included; null until the first list. */
    val members: PersistentSet<InstanceId>? = null,
    val lastHeardAt: Instant? = null,
    /** When a peer last had the revision in force here. */
    val confirmedAt: Instant? = null,
    /** Since when a peer has had a newer revision than this instance. */
    val behindSince: Instant? = null,
    val lastRequestAt: Instant? = null,
    val newestRevision: RevisionNumber = RevisionNumber.None
)

/** Where in the stream `configuration` an instance is. */
public data class LogPosition(
    /** The first record that the revision in force does not take into account. */
    val nextOffset: Long = 0,
    /** The first record that has not been read. */
    val readUpTo: Long = 0,
    /** The first record that could be read after the last loss. */
    val retainedFrom: Long = 0,
    /** Whether the log has answered since the start. */
    val loaded: Boolean = false,
    /** When the log last answered. */
    val readAt: Instant? = null
)

/** All that the decisions on the configuration depend on. Owned by the `configuration` duty. */
public data class ConfigurationState(
    val self: InstanceId,
    val reader: ListReader,
    val startedAt: Instant,
    /** Whether other instances may exist; without any, a start does not wait for their word. */
    val expectsPeers: Boolean = true,
    val timing: ConfigurationTiming = ConfigurationTiming(),
    val phase: ConfigurationPhase = ConfigurationPhase.Loading,
    val phaseSince: Instant = startedAt,
    val inForce: Configuration = Configuration.Empty,
    val lists: ListTexts? = null,
    val position: LogPosition = LogPosition(),
    val held: PersistentList<PublishedRevision> = persistentListOf(),
    val peers: PeerRevisionStatus = PeerRevisionStatus(),
    val snapshots: SnapshotStatus = SnapshotStatus(),
    val reported: ConfigurationStatus = ConfigurationStatus()
) {
    /** The revision in force with its place in the log; null when none is in force. */
    public val checkpoint: RevisionCheckpoint?
        get() = lists?.let { RevisionCheckpoint(inForce.revision, position.nextOffset, it) }

    internal val status: ConfigurationStatus
        get() = ConfigurationStatus(
            revision = inForce.revision,
            newestKnown = maxOf(inForce.revision, peers.newestRevision),
            standing = standing
        )

    private val standing: ConfigurationStanding
        get() = when (phase) {
            ConfigurationPhase.Loading -> ConfigurationStanding.Absent
            ConfigurationPhase.Current ->
                if (lists == null) {
                    ConfigurationStanding.Absent
                } else {
                    ConfigurationStanding.Confirmed
                }
            ConfigurationPhase.Unconfirmed, ConfigurationPhase.Detached ->
                if (lists == null) {
                    ConfigurationStanding.Absent
                } else {
                    ConfigurationStanding.Unconfirmed
                }
        }
}

/** The next state and the effects that lead to it, in order. */
public data class ConfigurationDecision(
    val state: ConfigurationState,
    val effects: PersistentList<ConfigurationEffect> = persistentListOf()
) {
    internal fun emit(effect: ConfigurationEffect): ConfigurationDecision =
        copy(effects = effects.add(effect))

    internal fun count(counter: ConfigurationCounter): ConfigurationDecision =
        emit(ConfigurationEffect.Count(counter))

    internal fun update(change: (ConfigurationState) -> ConfigurationState) =
        copy(state = change(state))

    /** Decides further from the state reached so far; effects accumulate. */
    internal fun then(next: (ConfigurationState) -> ConfigurationDecision): ConfigurationDecision {
        val decision = next(state)
        return ConfigurationDecision(decision.state, effects.addAll(decision.effects))
    }
}
