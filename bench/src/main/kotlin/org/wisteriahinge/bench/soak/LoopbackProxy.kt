package org.wisteriahinge.bench.soak

import java.io.Closeable
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.time.Duration
import java.util.concurrent.atomic.AtomicReference
import kotlin.concurrent.thread
import kotlinx.collections.immutable.persistentHashSetOf

/** How a proxy treats its connections. */
internal sealed interface Link {
    /** Bytes pass at once. */
    data object Open : Link

    /** Bytes pass after [delay]. */
    data class Delayed(val delay: Duration) : Link

    /** Connections are reset, new ones too. */
    data object Resetting : Link

    /** Nothing passes, and no connection is closed. Bytes are lost for good. */
    data object Silent : Link

    /** Requests pass and answers are lost. */
    data object NoAnswers : Link
}

private const val BUFFER_BYTES = 65_536
private const val BACKLOG = 512

/** Passes connections on to [port] of this machine, and can disturb them. */
internal class LoopbackProxy(private val port: Int) : Closeable {
    private val link = AtomicReference<Link>(Link.Open)
    private val open = AtomicReference(persistentHashSetOf<Socket>())
    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())

    /** The port at which the proxy listens. */
    val ownPort: Int get() = server.localPort

    /** Starts accepting connections. */
    fun start() {
        thread(isDaemon = true, name = "proxy-$port") {
            while (!server.isClosed) {
                val caller = ignoringFailures { server.accept() } ?: continue
                ignoringFailures { connect(caller) } ?: reset(caller)
            }
        }
    }

    /** Treats connections as [next] from now on; what was lost stays lost. */
    fun become(next: Link) {
        val before = link.getAndSet(next)
        // A connection that lost bytes cannot go on.
        val broken = before == Link.Silent || before == Link.NoAnswers
        if (next == Link.Resetting || broken) open.get().forEach(::reset)
    }

    private fun connect(caller: Socket) {
        if (link.get() == Link.Resetting) return reset(caller)
        val callee = Socket(InetAddress.getLoopbackAddress(), port)
        listOf(caller, callee).forEach { it.tcpNoDelay = true }
        open.updateAndGet { it.add(caller).add(callee) }
        thread(isDaemon = true) { pump(caller, callee, isAnswer = false) }
        thread(isDaemon = true) { pump(callee, caller, isAnswer = true) }
    }

    private fun pump(from: Socket, to: Socket, isAnswer: Boolean) {
        val buffer = ByteArray(BUFFER_BYTES)
        ignoringFailures {
            while (true) {
                val count = from.getInputStream().read(buffer)
                if (count < 0) break
                if (passes(isAnswer)) to.getOutputStream().write(buffer, 0, count)
            }
        }
        if (link.get() != Link.Silent) listOf(from, to).forEach { it.close() }
        open.updateAndGet { it.remove(from).remove(to) }
    }

    private fun passes(isAnswer: Boolean): Boolean = when (val current = link.get()) {
        Link.Open, Link.Resetting -> true
        Link.Silent -> false
        Link.NoAnswers -> !isAnswer
        is Link.Delayed -> {
            Thread.sleep(current.delay.toMillis())
            true
        }
    }

    private fun reset(socket: Socket) {
        ignoringFailures {
            socket.setSoLinger(true, 0)
            socket.close()
        }
    }

    override fun close() {
        server.close()
        open.get().forEach(::reset)
    }
}

/** The result of [action]; null when a connection broke, which is what a proxy is for. */
internal fun <T> ignoringFailures(action: () -> T): T? = try {
    action()
} catch (_: IOException) {
    null
}
