package org.wisteriahinge.bench.configuration

import org.wisteriahinge.core.configuration.ConfigurationEvent
import org.wisteriahinge.core.configuration.PublishedRevision
import org.wisteriahinge.core.configuration.RevisionCheckpoint

/** What happens in the simulation of spreading a configuration. */
internal sealed interface SpreadEvent {
    /** An operator's append takes effect. */
    data class Published(val revision: PublishedRevision) : SpreadEvent

    /** An instance's append of a snapshot takes effect. */
    data class SnapshotAppended(val instance: Int, val checkpoint: RevisionCheckpoint) : SpreadEvent

    /** [instance] asks the log for what follows its positions. */
    data class ReadStarted(val instance: Int) : SpreadEvent

    /** The log looks for records for [instance], again and again until [deadlineMicros]. */
    data class ReadServed(val instance: Int, val deadlineMicros: Long) : SpreadEvent

    /** An event reaches the `configuration` duty of [instance], unless it restarted since. */
    data class Delivered(val instance: Int, val incarnation: Int, val event: ConfigurationEvent) :
        SpreadEvent

    /** [instance] sends its heartbeat. */
    data class HeartbeatDue(val instance: Int) : SpreadEvent

    /** [instance] is replaced by a new one without state. */
    data class Restarted(val instance: Int) : SpreadEvent
}
