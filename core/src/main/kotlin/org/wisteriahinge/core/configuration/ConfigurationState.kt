package org.wisteriahinge.core.configuration

import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import org.wisteriahinge.core.model.Configuration
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.core.model.RevisionNumber

/** Durations for the decisions on the configuration. */
public data class ConfigurationTiming(
    /** How long the log keeps records. */
    val retention: Duration = Duration.ofHours(24),
    /** How long a starting instance waits for a peer before it applies the log's revision. */
    val startGracePeriod: Duration = Duration.ofSeconds(2),
    /**
     * How long an instance that lost its position in the log waits for one that knows it. It covers
     * several heartbeats and a slow operation on the log.
     */
    val repositionTimeout: Duration = Duration.ofSeconds(5),
    /** How long a confirmation is valid. The log and peers usually confirm every second. */
    val confirmationValidity: Duration = Duration.ofSeconds(10),
    /** Shortest time between two requests to peers. */
    val peerRequestInterval: Duration = Duration.ofSeconds(1)
) {
    /** Age at which a snapshot is rewritten: half of a quarter of [retention], its upper limit. */
    val snapshotAge: Duration get() = retention.dividedBy(8)

    /** Delay between the turns of snapshot writers, longer than a slow append and its reading. */
    val takeoverDelay: Duration get() = minOf(Duration.ofSeconds(10), retention.dividedBy(64))
}

/** The known state of the stream `configuration-snapshot`. */
public data class SnapshotStatus(
    /** The newest snapshot; null when the stream has no usable one. */
    val newest: SnapshotHeader? = null,
    /** When a new snapshot was first found to be needed. */
    val dueSince: Instant? = null,
    /** When this instance last started to append a snapshot. */
    val lastAttemptAt: Instant? = null
)

/** The data of a [SnapshotRecord] without its lists. */
public data class SnapshotHeader(
    val streamOffset: Long,
    val writtenAt: Instant,
    val revision: RevisionNumber,
    val nextOffset: Long
)

/** What the other instances reported of their revisions. */
public data class PeerRevisionStatus(
    /** The live instances, this one included; null until the first list. */
    val members: PersistentSet<InstanceId>? = null,
    /** When a peer last reported a revision or sent its configuration. */
    val lastHeardAt: Instant? = null,
    /** When a peer last reported the revision that is in force at this instance. */
    val confirmedAt: Instant? = null,
    /** Since when a peer is known to have a newer revision than this instance. */
    val behindSince: Instant? = null,
    /** When this instance last requested the configuration from peers. */
    val lastRequestAt: Instant? = null,
    val newestRevision: RevisionNumber = RevisionNumber.None
)

/** The position of an instance in the stream `configuration`. */
public data class LogPosition(
    /** Offset of the first record that was not decided on for the revision in force. */
    val nextOffset: Long = 0,
    /** Offset of the first record that was not read. */
    val readUpTo: Long = 0,
    /** Offset of the first record that could be read after the last loss. */
    val retainedFrom: Long = 0,
    /** Whether the log has answered since this instance started. */
    val loaded: Boolean = false,
    /** When the log last answered. */
    val readAt: Instant? = null
)

/**
 * The state of the decisions on the configuration. Owned by the `configuration` duty.
 *
 * @property lists the lists of the configuration in force; null when none is in force.
 * @property held records that cannot be decided on yet.
 * @property reported the status that was last reported.
 */
public data class ConfigurationState(
    val self: InstanceId,
    val reader: ListReader,
    val startedAt: Instant,
    /** Whether other instances may exist. If not, a starting instance does not wait for them. */
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
    /** The revision in force and its position in the log; null when none is in force. */
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

/** The state after an event, and the effects to perform in order. */
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

    /** Applies a further decision to [state] and appends its effects. */
    internal fun then(next: (ConfigurationState) -> ConfigurationDecision): ConfigurationDecision {
        val decision = next(state)
        return ConfigurationDecision(decision.state, effects.addAll(decision.effects))
    }
}
