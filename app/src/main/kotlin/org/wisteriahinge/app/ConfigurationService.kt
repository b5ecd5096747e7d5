package org.wisteriahinge.app

import com.github.f4b6a3.uuid.UuidCreator
import com.github.michaelbull.result.get
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.Closeable
import java.time.Clock
import java.time.Duration
import org.wisteriahinge.adapters.lists.readLists
import org.wisteriahinge.adapters.log.ConfigurationContext
import org.wisteriahinge.adapters.log.ConfigurationEffects
import org.wisteriahinge.adapters.log.ConfigurationFeed
import org.wisteriahinge.adapters.metrics.ConfigurationMetrics
import org.wisteriahinge.core.configuration.ConfigurationEvent
import org.wisteriahinge.core.configuration.ConfigurationState
import org.wisteriahinge.core.configuration.ConfigurationStatus
import org.wisteriahinge.core.configuration.ConfigurationTiming
import org.wisteriahinge.core.configuration.ListReader
import org.wisteriahinge.core.membership.Members
import org.wisteriahinge.core.membership.PeerMessage
import org.wisteriahinge.core.model.Configuration
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.runtime.AppendRequest
import org.wisteriahinge.runtime.ConfigurationDuty
import org.wisteriahinge.runtime.EffectSink
import org.wisteriahinge.runtime.Offer
import org.wisteriahinge.runtime.PeerLink
import org.wisteriahinge.runtime.PlatformLog
import org.wisteriahinge.runtime.Ring

private const val RING_CAPACITY = 256

/** Slots that heartbeats cannot fill: a member change is announced only once and needs room. */
private const val RESERVED_SLOTS = 32
private val STOP_TIMEOUT: Duration = Duration.ofSeconds(1)

/** The id of this instance among its peers and the link to them. */
public class ConfigurationPeers(public val self: InstanceId, public val link: PeerLink)

/**
 * Follows the published configurations in the log and passes each accepted one to [apply].
 *
 * With [peers], it also exchanges configurations with other instances.
 */
public class ConfigurationService(
    timing: ConfigurationTiming,
    log: PlatformLog,
    logRing: Ring<AppendRequest>,
    registry: PrometheusRegistry,
    clock: Clock,
    peers: ConfigurationPeers? = null,
    apply: EffectSink<Configuration>
) : Closeable {
    /** Identifies this instance to peers and operators; generated when there are no peers. */
    public val self: InstanceId =
        peers?.self ?: InstanceId(UuidCreator.getTimeOrderedEpoch().toString())
    private val ring = Ring<ConfigurationEvent>("configuration", RING_CAPACITY, RESERVED_SLOTS)
    private val metrics = ConfigurationMetrics(registry)
    private val effects = ConfigurationEffects(
        ConfigurationContext(self, ring, logRing, peers?.link, metrics, apply)
    )
    private val feed = ConfigurationFeed(log, ring)
    private val duty = ConfigurationDuty(
        ring,
        ConfigurationState(
            self = self,
            reader = validatingReader,
            startedAt = clock.instant(),
            expectsPeers = peers != null,
            timing = timing
        ),
        effects,
        clock
    )

    /** The revision in force and whether it is confirmed; for readiness. */
    public val status: ConfigurationStatus get() = effects.status

    /** Starts the duties. */
    public fun start() {
        duty.start()
        feed.start()
    }

    /** Reports a change of the live instances. */
    public fun membersChanged(members: Members) {
        val offer = ring.offerReserved(ConfigurationEvent.MembersChanged(members.live))
        if (offer == Offer.Full) metrics.countDroppedMessage()
    }

    /**
     * Reports a heartbeat or a configuration message from a peer.
     *
     * Dropped when the ring is full, because peers repeat lost messages.
     */
    public fun received(message: PeerMessage) {
        val offer = ring.offer(ConfigurationEvent.PeerHeard(message))
        if (offer == Offer.Full) metrics.countDroppedMessage()
    }

    override fun close() {
        feed.close()
        duty.stop(STOP_TIMEOUT)
    }
}

/** Validates published lists in the file format of this version. */
internal val validatingReader: ListReader =
    ListReader { lists, revision -> readLists(lists, revision).get() }
