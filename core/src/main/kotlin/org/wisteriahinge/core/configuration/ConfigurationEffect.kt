package org.wisteriahinge.core.configuration

import java.time.Instant
import org.wisteriahinge.core.model.Configuration
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.core.model.RevisionNumber

/** An effect of a decision on the configuration, performed by the adapters. */
public sealed interface ConfigurationEffect {
    /** Puts [configuration] in force; its revision is higher than all revisions applied before. */
    public data class Apply(val configuration: Configuration) : ConfigurationEffect

    /** Appends a snapshot of [checkpoint] to the stream `configuration-snapshot`. */
    public data class WriteSnapshot(val checkpoint: RevisionCheckpoint, val writtenAt: Instant) :
        ConfigurationEffect

    /** Requests the configuration in force at the instance [to]. */
    public data class AskPeer(val to: InstanceId) : ConfigurationEffect

    /** Sends [checkpoint] to the instance [to] as the reply to its request. */
    public data class ReplyToPeer(val to: InstanceId, val checkpoint: RevisionCheckpoint) :
        ConfigurationEffect

    /** Publishes [status] in the readiness report and in metrics. */
    public data class Report(val status: ConfigurationStatus) : ConfigurationEffect

    /** Increments the metric of [counter]. */
    public data class Count(val counter: ConfigurationCounter) : ConfigurationEffect
}

/** Whether the revision in force is known to be the newest. */
public sealed class ConfigurationStanding(public val wireName: String) {
    /** No revision is in force. */
    public data object Absent : ConfigurationStanding("absent")

    /** The log or a peer confirmed it within [ConfigurationTiming.confirmationValidity]. */
    public data object Confirmed : ConfigurationStanding("confirmed")

    /** Neither the log nor a peer could confirm it; it stays in force. */
    public data object Unconfirmed : ConfigurationStanding("unconfirmed")
}

/** The status of an instance's configuration, as shown to operators. */
public data class ConfigurationStatus(
    val revision: RevisionNumber = RevisionNumber.None,
    val newestKnown: RevisionNumber = RevisionNumber.None,
    val standing: ConfigurationStanding = ConfigurationStanding.Absent
)

/** A counter of decisions on the configuration. [wireName] is its label in metrics. */
public sealed class ConfigurationCounter(public val wireName: String) {
    /** A revision from the log came into force. */
    public data object AcceptedFromLog : ConfigurationCounter("accepted_from_log")

    /** A revision came into force from a peer's reply. */
    public data object AcceptedFromPeer : ConfigurationCounter("accepted_from_peer")

    /** A revision came into force from a snapshot. */
    public data object AcceptedFromSnapshot : ConfigurationCounter("accepted_from_snapshot")

    /** A record replaces a revision that is no longer in force. */
    public data object RejectedStale : ConfigurationCounter("rejected_stale")

    /** The lists of a record, a reply or a snapshot are invalid. */
    public data object RejectedInvalid : ConfigurationCounter("rejected_invalid")

    /** A record cannot be decoded. */
    public data object RejectedUnreadable : ConfigurationCounter("rejected_unreadable")

    /** The oldest held record was dropped because too many were held. */
    public data object HeldDropped : ConfigurationCounter("held_dropped")

    /** A reply or snapshot is older than the revision in force. */
    public data object StaleBase : ConfigurationCounter("stale_base")

    /** Records expired or were truncated before they were read. */
    public data object PositionLost : ConfigurationCounter("position_lost")

    /** A snapshot was appended. */
    public data object SnapshotWritten : ConfigurationCounter("snapshot_written")

    /** The append of a snapshot failed. */
    public data object SnapshotFailed : ConfigurationCounter("snapshot_failed")

    public companion object {
        public val all: List<ConfigurationCounter> get() = listOf(
            AcceptedFromLog,
            AcceptedFromPeer,
            AcceptedFromSnapshot,
            RejectedStale,
            RejectedInvalid,
            RejectedUnreadable,
            HeldDropped,
            StaleBase,
            PositionLost,
            SnapshotWritten,
            SnapshotFailed
        )
    }
}
