package org.wisteriahinge.bench.soak

import java.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/** What a caller's request may do. */
internal sealed interface SoakWork {
    /** It may run more than once. */
    data object Read : SoakWork

    /** It may run once at most. */
    data object Write : SoakWork

    /** It asks for the route that only [version] of the configuration has. */
    data class ConfigurationProbe(val version: Int) : SoakWork
}

/** What a caller got. */
internal sealed interface SoakResult {
    /** A whole answer. [isGenuine]: body and stamp are those of the target for this request. */
    data class Answered(val status: Int, val isGenuine: Boolean) : SoakResult

    /** The connection ended before a whole answer. */
    data object Broken : SoakResult

    /** No connection, or the request was not sent as a whole. */
    data object NotSent : SoakResult
}

/** A request of a caller. Times are since the start of the traffic. */
internal data class SoakRequest(
    val id: String,
    val work: SoakWork,
    val instance: Int,
    val sentAt: Duration,
    val endedAt: Duration,
    val result: SoakResult
)

/** A target began to work on the request [id]. */
internal data class SoakArrival(val id: String, val target: Int, val at: Duration)

/** What was done to the deployment, and how it ended. */
internal sealed interface SoakEvent {
    val from: Duration
    val until: Duration

    /** [fault] was in effect. */
    data class FaultInjected(
        val fault: SoakFault,
        override val from: Duration,
        override val until: Duration
    ) : SoakEvent

    /** An instance was stopped by SIGTERM. */
    data class InstanceStopped(
        val instance: Int,
        val stopped: Stopped,
        override val from: Duration,
        override val until: Duration
    ) : SoakEvent

    /** A process ended although nobody had ended it. */
    data class UnexpectedExit(val instance: Int, override val from: Duration) : SoakEvent {
        override val until: Duration get() = from
    }

    /** The store has accepted the configuration [version]. */
    data class ConfigurationPublished(val version: Int, override val from: Duration) : SoakEvent {
        override val until: Duration get() = from
    }
}

/** All that was seen from outside the processes. */
internal data class SoakHistory(
    val requests: PersistentList<SoakRequest> = persistentListOf(),
    val arrivals: PersistentList<SoakArrival> = persistentListOf(),
    val events: PersistentList<SoakEvent> = persistentListOf()
)
