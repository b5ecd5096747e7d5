package org.wisteriahinge.core.configuration

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentSet
import org.wisteriahinge.core.membership.PeerMessage
import org.wisteriahinge.core.model.InstanceId

/** An event for [ConfigurationState.decide]. */
public sealed interface ConfigurationEvent {
    /**
     * The first answer of the log after a start: the newest [snapshots], and the bounds of the
     * stream `configuration`, which retains records from [earliest] on and is read from [readFrom].
     */
    public data class Loaded(
        val snapshots: PersistentList<SnapshotRecord>,
        val earliest: Long,
        val readFrom: Long
    ) : ConfigurationEvent

    /** Records of the stream `configuration` in order; empty when a read timed out. */
    public data class RecordsRead(val records: PersistentList<ConfigurationRecord>) :
        ConfigurationEvent

    /** Records before [earliest] were lost before they were read, or the stream restarted there. */
    public data class RecordsLost(val earliest: Long) : ConfigurationEvent

    /** Records of the stream `configuration-snapshot`; empty when a read timed out. */
    public data class SnapshotsRead(val snapshots: PersistentList<SnapshotRecord>) :
        ConfigurationEvent

    /** Snapshots expired or were truncated before they were read. */
    public data object SnapshotsLost : ConfigurationEvent

    /** The append of a snapshot ended; after a failure it may still have taken effect. */
    public data class SnapshotWriteEnded(val succeeded: Boolean) : ConfigurationEvent

    /** A heartbeat, [PeerMessage.ConfigurationRequest] or [PeerMessage.ConfigurationReply]. */
    public data class PeerHeard(val message: PeerMessage) : ConfigurationEvent

    /** The live instances, this one included. */
    public data class MembersChanged(val members: PersistentSet<InstanceId>) : ConfigurationEvent

    /** Time passed; timeouts and due snapshots are checked. */
    public data object Ticked : ConfigurationEvent
}
