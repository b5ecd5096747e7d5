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

    /** Counts [bytes] bytes as sent. */
    internal fun countSent(bytes: Int) {
        sentBytes.inc(bytes.toDouble())
    }

    /** Counts a received message that was dropped because of [fault]. */
    internal fun countDropped(fault: PeerMessageFault) {
        dropped.labelValues(fault.wireName).inc()
    }

    /** Counts a message that was not sent because of [cause]. */
    internal fun countUnsent(cause: UnsentCause) {
        unsent.labelValues(cause.wireName).inc()
    }

    /** Counts a received message that was dropped because the ring of its duty was full. */
    public fun onRingFull() {
        dropped.labelValues("ring_full").inc()
    }

    /** Increments the metric of the decision [counter]. */
    public fun count(counter: MembershipCounter) {
        membership.labelValues(counter.wireName).inc()
    }
}

/** Why a message was not sent. */
internal sealed class UnsentCause(val wireName: String) {
    /** The receiver's address is not known. */
    data object UnknownPeer : UnsentCause("unknown_peer")

    /** The queue is full, because the receiver reads more slowly than messages are sent. */
    data object QueueFull : UnsentCause("queue_full")

    /** The message exceeds [MAX_PEER_MESSAGE_BYTES]. */
    data object TooLarge : UnsentCause("too_large")

    /** The connection could not be established, or it broke. */
    data object ConnectionFailed : UnsentCause("connection_failed")
}
