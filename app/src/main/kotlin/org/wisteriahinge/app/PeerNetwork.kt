package org.wisteriahinge.app

import com.github.f4b6a3.uuid.UuidCreator
import io.github.oshai.kotlinlogging.KotlinLogging
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.Closeable
import java.time.Clock
import java.time.Duration
import org.wisteriahinge.adapters.instances.HttpInstanceList
import org.wisteriahinge.adapters.peer.PeerCodec
import org.wisteriahinge.adapters.peer.PeerMetrics
import org.wisteriahinge.adapters.peer.PeerServer
import org.wisteriahinge.adapters.peer.PeerTransport
import org.wisteriahinge.core.membership.Members
import org.wisteriahinge.core.membership.MembershipEffect
import org.wisteriahinge.core.membership.MembershipEvent
import org.wisteriahinge.core.membership.MembershipSettings
import org.wisteriahinge.core.membership.MembershipState
import org.wisteriahinge.core.membership.PeerMessage
import org.wisteriahinge.core.membership.SelfIdentity
import org.wisteriahinge.core.model.Address
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.core.model.Zone
import org.wisteriahinge.runtime.EffectSink
import org.wisteriahinge.runtime.InstanceListDuty
import org.wisteriahinge.runtime.MembershipDuty
import org.wisteriahinge.runtime.Offer
import org.wisteriahinge.runtime.PeerLink
import org.wisteriahinge.runtime.Ring

private val logger = KotlinLogging.logger {}

private const val RING_CAPACITY = 1_024
private val LIST_PERIOD: Duration = Duration.ofSeconds(2)
private val LIST_TIMEOUT: Duration = Duration.ofSeconds(2)
private val STOP_TIMEOUT: Duration = Duration.ofSeconds(1)

/** How an instance finds its peers. [key] authenticates messages and is secret. */
public class PeerSettings(
    public val name: String,
    public val zone: Zone,
    public val host: String,
    public val port: Int,
    public val instanceListUrl: String,
    public val key: String,
    public val membership: MembershipSettings = MembershipSettings()
)

/** Receives membership changes and messages from peers. */
public interface PeerListener {
    /** The members changed. Called on the membership duty's thread. */
    public fun membersChanged(members: Members)

    /** A message for another duty arrived, heartbeats included. Must not block. */
    public fun received(message: PeerMessage)
}

/** Tracks which peers are live and exchanges messages with them. */
public class PeerNetwork(
    private val settings: PeerSettings,
    registry: PrometheusRegistry,
    private val listener: PeerListener,
    private val clock: Clock
) : Closeable {
    private val codec = PeerCodec(settings.key.encodeToByteArray())
    private val metrics = PeerMetrics(registry)
    private val transport = PeerTransport(codec, metrics)
    private val ring = Ring<MembershipEvent>("membership", RING_CAPACITY)
    private val server =
        PeerServer(settings.host, settings.port, codec, metrics, EffectSink(::receive))
    private val list = HttpInstanceList(settings.instanceListUrl, LIST_TIMEOUT)
    private val listDuty = InstanceListDuty(list, ring, LIST_PERIOD)

    /** Unique for each start, so that peers can tell a restarted instance from its earlier run. */
    public val id: InstanceId =
        InstanceId("${settings.name}#${UuidCreator.getTimeOrderedEpoch().toString().takeLast(8)}")

    /** Sends messages to peers. */
    public val link: PeerLink get() = transport

    private var membership: MembershipDuty? = null

    /** Starts the duties and returns the port that receives messages. */
    public fun start(): Int {
        val port = server.start()
        val identity = SelfIdentity(settings.name, id, Address(settings.host, port), settings.zone)
        val state = MembershipState(identity, settings.membership)
        membership = MembershipDuty(ring, state, EffectSink(::perform), clock).also { it.start() }
        listDuty.start()
        return port
    }

    /** Reports a change of this instance to the membership duty; dropped when its ring is full. */
    public fun report(event: MembershipEvent) {
        if (ring.offer(event) == Offer.Full) {
            metrics.onRingFull()
            logger.warn { "ring ${ring.name} is full; dropped ${event::class.simpleName}" }
        }
    }

    /** Counts a message that was dropped because a ring was full. Peers repeat their reports. */
    public fun countDroppedMessage() {
        metrics.onRingFull()
    }

    private fun receive(message: PeerMessage) {
        when (message) {
            is PeerMessage.Heartbeat ->
                if (ring.offer(MembershipEvent.Heard(message)) == Offer.Full) metrics.onRingFull()
            is PeerMessage.Quarantine,
            is PeerMessage.OutcomeRequest,
            is PeerMessage.OutcomeReply,
            is PeerMessage.ConfigurationRequest,
            is PeerMessage.ConfigurationReply -> listener.received(message)
        }
    }

    private fun perform(effect: MembershipEffect) {
        when (effect) {
            is MembershipEffect.SendHeartbeat -> transport.sendAll(effect.to, effect.heartbeat)
            is MembershipEffect.AnnounceMembers -> {
                transport.update(effect.members)
                listener.membersChanged(effect.members)
            }
            is MembershipEffect.ForwardHeartbeat -> listener.received(effect.heartbeat)
            is MembershipEffect.Count -> metrics.count(effect.counter)
        }
    }

    override fun close() {
        listDuty.stop(STOP_TIMEOUT)
        membership?.stop(STOP_TIMEOUT)
        server.close()
        transport.close()
        list.close()
    }
}
