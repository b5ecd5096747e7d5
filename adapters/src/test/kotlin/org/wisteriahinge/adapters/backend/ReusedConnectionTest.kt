package org.wisteriahinge.adapters.backend

import java.io.Closeable
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.time.Duration
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows
import org.wisteriahinge.core.call.AttemptFailure
import org.wisteriahinge.core.model.Address
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/**
 * Guards against lost probes and repeated requests on reused connections.
 *
 * A target may close an idle connection just before the next request is sent on it. A probe is then
 * sent again on a new connection; any other request fails.
 */
class ReusedConnectionTest {
    /** Answers the first request on each connection and resets the connection at the second. */
    private class ResettingTarget : Closeable {
        private val server = ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))
        val connections = AtomicInteger()
        val address = Address("127.0.0.1", server.localPort)

        init {
            thread(isDaemon = true) {
                while (!server.isClosed) {
                    val accepted = runCatching { server.accept() }.getOrNull() ?: break
                    connections.incrementAndGet()
                    thread(isDaemon = true) { accepted.use(::serve) }
                }
            }
        }

        private fun serve(socket: Socket) {
            val reader = socket.getInputStream().bufferedReader()
            while (reader.readLine()?.isNotEmpty() == true) Unit
            socket.getOutputStream()
                .write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".encodeToByteArray())
            reader.readLine()
            socket.setSoLinger(true, 0)
        }

        override fun close() {
            server.close()
        }
    }

    private fun request(retryOnStale: Boolean) = BackendRequest(
        method = "GET",
        pathAndQuery = "/health",
        headers = persistentListOf(),
        body = RequestBody.None,
        remaining = Duration.ofSeconds(5),
        retryOnStaleConnection = retryOnStale
    )

    private fun withTarget(block: (BackendClient, ResettingTarget) -> Unit) {
        ResettingTarget().use { target ->
            BackendClient(ConnectionLimits(perTarget = 4)).use { block(it, target) }
        }
    }

    @Test
    fun `a probe on a stale connection is sent again on a new one`() =
        withTarget { client, target ->
            repeat(3) {
                val answer = client.fetch(target.address, request(retryOnStale = true))
                expectThat(answer.head.status).isEqualTo(200)
            }
            expectThat(target.connections.get()).isEqualTo(3)
        }

    @Test
    fun `a request on a stale connection fails and is not sent again`() =
        withTarget { client, target ->
            client.fetch(target.address, request(retryOnStale = false))
            val failure = assertThrows<AttemptFailedException> {
                client.fetch(target.address, request(retryOnStale = false))
            }
            expectThat(failure.failure).isEqualTo(AttemptFailure.Disconnected)
            expectThat(target.connections.get()).isEqualTo(1)
        }
}
