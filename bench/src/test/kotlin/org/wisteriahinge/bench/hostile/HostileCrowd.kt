package org.wisteriahinge.bench.hostile

import java.io.Closeable
import java.io.IOException
import java.net.InetSocketAddress
import java.nio.ByteBuffer
import java.nio.channels.SocketChannel
import java.time.Duration
import org.wisteriahinge.core.model.Address

private val MAX_LENGTH: Duration = Duration.ofSeconds(3)

/** A crowd of which no client has sent a byte for this long sends no more. */
private val SETTLED_AFTER: Duration = Duration.ofMillis(500)
private const val POLL_MILLIS = 2L

/** Where a crowd sends its requests. */
internal class Door(val address: Address, val path: String, val method: String = "GET")

/** Clients that send [traffic] to the [doors] in turn, from one thread; not thread-safe. */
internal class HostileCrowd(private val traffic: HostileTraffic, private val doors: List<Door>) :
    Closeable {
    private val clients = List(traffic.clients) { HostileClient(it) }

    /** Sends until nobody takes any more; the connections stay open. */
    fun send() {
        val start = System.nanoTime()
        var progressNanos = start
        while (System.nanoTime() - progressNanos < SETTLED_AFTER.toNanos() &&
            System.nanoTime() - start < MAX_LENGTH.toNanos()
        ) {
            if (clients.count { it.advance() } > 0) {
                progressNanos = System.nanoTime()
            } else {
                Thread.sleep(POLL_MILLIS)
            }
        }
    }

    override fun close() {
        clients.forEach { it.close() }
    }

    private inner class HostileClient(number: Int) : Closeable {
        private val door = doors[number % doors.size]
        private val pieces = traffic.pieces(door.method, door.path, number / doors.size).iterator()
        private val channel = SocketChannel.open()
        private var unsent = ByteBuffer.allocate(0)
        private var nextNanos = 0L
        private var isRefused = false

        init {
            channel.configureBlocking(false)
            channel.connect(InetSocketAddress(door.address.host, door.address.port))
        }

        /** Sends what the instance takes now; false if it takes nothing. */
        fun advance(): Boolean = try {
            !isRefused && channel.finishConnect() && write()
        } catch (_: IOException) {
            isRefused = true
            false
        }

        private fun write(): Boolean {
            if (!unsent.hasRemaining()) {
                if (!pieces.hasNext() || System.nanoTime() < nextNanos) return false
                unsent = ByteBuffer.wrap(pieces.next().encodeToByteArray())
                nextNanos = System.nanoTime() + Duration.ofMillis(traffic.pauseMillis).toNanos()
            }
            return channel.write(unsent) > 0
        }

        override fun close() {
            channel.close()
        }
    }
}
