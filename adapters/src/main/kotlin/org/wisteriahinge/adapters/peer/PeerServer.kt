package org.wisteriahinge.adapters.peer

import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import java.io.Closeable
import java.io.IOException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.ClosedReceiveChannelException
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.wisteriahinge.core.membership.PeerMessage
import org.wisteriahinge.runtime.EffectSink

private val logger = KotlinLogging.logger {}

/**
 * Receives messages from other instances over TCP and passes them to [deliver].
 *
 * Each message is preceded by its length as a big-endian 32-bit integer. [deliver] runs on a
 * network thread and must not block. A connection on which a message has a [PeerMessageFault] is
 * closed, because the bytes after that message cannot be trusted.
 */
public class PeerServer(
    private val host: String,
    private val port: Int,
    private val codec: PeerCodec,
    private val metrics: PeerMetrics,
    private val deliver: EffectSink<PeerMessage>
) : Closeable {
    private val selector = SelectorManager(Dispatchers.IO)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)

    /** Starts listening and returns the port in use. */
    public fun start(): Int {
        val socket = runBlocking { aSocket(selector).tcp().bind(host, port) }
        scope.launch { acceptAll(socket) }
        return (socket.localAddress as InetSocketAddress).port
    }

    private suspend fun acceptAll(server: ServerSocket) {
        while (true) {
            val socket = server.accept()
            receiveMessages(socket)
        }
    }

    private fun receiveMessages(socket: Socket): Job = scope.launch {
        socket.use {
            try {
                val input = socket.openReadChannel()
                while (receiveMessage(input)) Unit
            } catch (_: ClosedReceiveChannelException) {
                logger.debug { "peer ${socket.remoteAddress} closed its connection" }
            } catch (e: IOException) {
                logger.debug(e) { "connection from peer ${socket.remoteAddress} broke" }
            }
        }
    }

    /** Receives one message. Returns false if the connection must be closed. */
    private suspend fun receiveMessage(input: ByteReadChannel): Boolean {
        val length = input.readInt()
        if (length !in 1..MAX_PEER_MESSAGE_BYTES) {
            metrics.countDropped(PeerMessageFault.BadSize)
            return false
        }
        val decoded = codec.decode(input.readByteArray(length))
        decoded.onSuccess(deliver::perform).onFailure(metrics::countDropped)
        return decoded.isOk
    }

    override fun close() {
        scope.cancel()
        selector.close()
    }
}
