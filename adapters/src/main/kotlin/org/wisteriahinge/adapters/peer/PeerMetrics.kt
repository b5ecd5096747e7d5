package org.wisteriahinge.adapters.peer

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.wisteriahinge.core.membership.MembershipCounter

/** Prometheus counters for the messages between instances. */
public class PeerMetrics(registry: PrometheusRegistry) {
    private val sentBytes = Counter.builder().name("wisteriahinge_peer_sent_bytes_total")
        .help("Bytes of messages sent to other instances").register(registry)
    private val dropped = Counter.builder().name("wisteriahinge_peer_messages_dropped_total")
        .help("Received messages dropped, by fault").labelNames("fault").register(registry)
    private val unsent = Counter.builder().name("wisteriahinge_peer_messages_unsent_total")
        .help("Messages not sent, by cause").labelNames("cause").register(registry)
    private val membership = Counter.builder().name("wisteriahinge_membership_total")
        .help("Decisions on membership").labelNames("decision").register(registry)

    internal fun countSent(bytes: Int) {
        sentBytes.inc(bytes.toDouble())
    }

    internal fun countDropped(fault: PeerMessageFault) {
        dropped.labelValues(fault.wireName).inc()
    }

    internal fun countUnsent(cause: UnsentCause) {
        unsent.labelValues(cause.wireName).inc()
    }

    /** A received message could not be handed to its duty because the ring was full. */
    public fun onRingFull() {
        dropped.labelValues("ring_full").inc()
    }

    /** Adds one to the metric of [counter]. */
    public fun count(counter: MembershipCounter) {
        membership.labelValues(counter.wireName).inc()
    }
}

/** Why a message was not sent. */
internal sealed class UnsentCause(val wireName: String) {
    /** The receiver's address is not known. */
    data object UnknownPeer : UnsentCause("unknown_peer")

    /** The receiver takes messages too slowly. */
    data object QueueFull : UnsentCause("queue_full")

    /** The message exceeds the size bound. */
    data object TooLarge : UnsentCause("too_large")

    /** The connection could not be made or broke. */
    data object ConnectionFailed : UnsentCause("connection_failed")
}
