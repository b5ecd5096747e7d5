package org.wisteriahinge.adapters.peer

import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt
import java.io.Closeable
import java.io.IOException
import java.time.Duration
import java.util.concurrent.atomic.AtomicReference
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.wisteriahinge.core.membership.Members
import org.wisteriahinge.core.membership.PeerMessage
import org.wisteriahinge.core.model.Address
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.runtime.PeerLink

/** Messages that may wait for one peer. More are dropped, as later ones replace them. */
private const val QUEUE_CAPACITY = 64
private val CONNECT_TIMEOUT: Duration = Duration.ofSeconds(1)
private val IDLE_TIMEOUT: Duration = Duration.ofSeconds(30)

/**
 * Sends messages to other instances. Each instance has a bounded queue and one TCP connection,
 * which is opened on demand.
 *
 * Sending never blocks; a message that cannot be sent is dropped and counted. A queue and its
 * connection are closed after [IDLE_TIMEOUT] without messages.
 */
public class PeerTransport(private val codec: PeerCodec, private val metrics: PeerMetrics) :
    PeerLink,
    Closeable {
    private val selector = SelectorManager(Dispatchers.IO)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
    private val members =
        AtomicReference(Members(persistentSetOf(), persistentHashMapOf()))
    private val queues =
        AtomicReference<PersistentMap<Address, Channel<ByteArray>>>(persistentHashMapOf())

    /** Replaces the members, whose addresses [send] and [broadcast] use, by [next]. */
    public fun update(next: Members) {
        members.set(next)
    }

    override fun send(to: InstanceId, message: PeerMessage) {
        val address = members.get().addresses[to]
        if (address ==
            null
        ) {
            metrics.countUnsent(UnsentCause.UnknownPeer)
        } else {
            send(address, message)
        }
    }

    override fun broadcast(message: PeerMessage) {
        sendAll(members.get().addresses.values, message)
    }

    /** Sends [message] to [address], which need not belong to a member. */
    public fun send(address: Address, message: PeerMessage) {
        sendAll(listOf(address), message)
    }

    /** Encodes [message] once and sends it to each of [addresses]. */
    public fun sendAll(addresses: Collection<Address>, message: PeerMessage) {
        codec.encode(message)
            .onSuccess { bytes -> addresses.forEach { enqueue(it, bytes) } }
            .onFailure { metrics.countUnsent(UnsentCause.TooLarge) }
    }

    private fun enqueue(address: Address, bytes: ByteArray) {
        val sent = queueFor(address).trySend(bytes)
        if (sent.isFailure) metrics.countUnsent(UnsentCause.QueueFull)
    }

    private fun queueFor(address: Address): Channel<ByteArray> {
        queues.get()[address]?.let { return it }
        val created = Channel<ByteArray>(QUEUE_CAPACITY)
        val current = queues.updateAndGet { all ->
            if (address in all) all else all.put(address, created)
        }
        val queue = current.getValue(address)
        if (queue === created) scope.launch { sendQueued(address, created) }
        return queue
    }

    private suspend fun sendQueued(address: Address, queue: Channel<ByteArray>) {
        try {
            while (true) {
                val first = nextMessage(queue) ?: return
                sendOverConnection(address, first, queue)
            }
        } finally {
            queues.updateAndGet { if (it[address] === queue) it.remove(address) else it }
            queue.close()
        }
    }

    private suspend fun nextMessage(queue: Channel<ByteArray>): ByteArray? =
        withTimeoutOrNull(IDLE_TIMEOUT.toMillis()) { queue.receive() }

    /** Sends [first] and the messages after it until the connection breaks or becomes idle. */
    private suspend fun sendOverConnection(
        address: Address,
        first: ByteArray,
        queue: Channel<ByteArray>
    ) {
        try {
            val socket = withTimeoutOrNull(CONNECT_TIMEOUT.toMillis()) {
                aSocket(selector).tcp().connect(address.host, address.port) { noDelay = true }
            } ?: return metrics.countUnsent(UnsentCause.ConnectionFailed)
            socket.use {
                val output = socket.openWriteChannel()
                write(output, first)
                while (true) write(output, nextMessage(queue) ?: return)
            }
        } catch (_: IOException) {
            metrics.countUnsent(UnsentCause.ConnectionFailed)
        }
    }

    private suspend fun write(output: ByteWriteChannel, bytes: ByteArray) {
        output.writeInt(bytes.size)
        output.writeByteArray(bytes)
        output.flush()
        metrics.countSent(Int.SIZE_BYTES + bytes.size)
    }

    override fun close() {
        scope.cancel()
        selector.close()
    }
}
