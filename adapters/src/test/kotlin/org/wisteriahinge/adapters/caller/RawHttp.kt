package org.wisteriahinge.adapters.caller

import java.io.BufferedInputStream
import java.io.ByteArrayOutputStream
import java.io.Closeable
import java.io.IOException
import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketException
import java.net.SocketTimeoutException
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** An HTTP message read from a socket; [complete] is false if the connection ended early. */
class RawMessage(
    val startLine: String,
    val headers: List<Pair<String, String>>,
    val body: ByteArray,
    val complete: Boolean
) {
    val status: Int get() = startLine.split(' ')[1].toInt()
    val text: String get() = body.decodeToString()

    fun header(name: String): String? =
        headers.firstOrNull { it.first.equals(name, ignoreCase = true) }?.second
}

/** Reads one message; null if the connection ended before its first line. */
fun InputStream.readMessage(bodyExpected: Boolean = true): RawMessage? {
    val startLine = readLineOrNull() ?: return null
    val headers = generateSequence { readLineOrNull()?.takeIf { it.isNotEmpty() } }
        .map { it.substringBefore(':') to it.substringAfter(':').trim() }.toList()
    val head = RawMessage(startLine, headers, ByteArray(0), complete = true)
    val body = ByteArrayOutputStream()
    val complete = when {
        !bodyExpected -> true
        head.header("Transfer-Encoding") == "chunked" -> readChunks(body)
        else -> readExactly(head.header("Content-Length")?.toInt() ?: 0, body)
    }
    return RawMessage(startLine, headers, body.toByteArray(), complete)
}

private fun InputStream.readLineOrNull(): String? {
    val line = ByteArrayOutputStream()
    while (true) {
        val next = try {
            read()
        } catch (_: SocketException) {
            -1
        }
        if (next < 0) return null
        if (next == '\n'.code) return line.toString().removeSuffix("\r")
        line.write(next)
    }
}

private fun InputStream.readExactly(count: Int, into: ByteArrayOutputStream): Boolean {
    val bytes = try {
        readNBytes(count)
    } catch (_: SocketException) {
        ByteArray(0)
    }
    into.write(bytes)
    return bytes.size == count
}

private fun InputStream.readChunks(into: ByteArrayOutputStream): Boolean {
    while (true) {
        val size = readLineOrNull()?.toIntOrNull(16) ?: return false
        if (!readExactly(size, into)) return false
        readLineOrNull() ?: return false
        if (size == 0) return true
    }
}

/** A caller on a plain socket, for input that a client library would not send. */
class RawCaller(port: Int) : Closeable {
    val socket = Socket(InetAddress.getLoopbackAddress(), port).apply { soTimeout = 20_000 }
    private val input = BufferedInputStream(socket.getInputStream())

    fun send(text: String): RawCaller = apply {
        socket.getOutputStream().write(text.toByteArray(Charsets.ISO_8859_1))
        socket.getOutputStream().flush()
    }

    fun receive(bodyExpected: Boolean = true): RawMessage? = input.readMessage(bodyExpected)

    /** Waits for more input; true if the server closed the connection instead. */
    fun isClosedByServer(): Boolean = try {
        input.read() < 0
    } catch (_: SocketException) {
        true
    }

    override fun close() = socket.close()
}

/** A connection that a [RawTarget] accepted. */
class RawConnection(val socket: Socket) {
    fun write(text: String) = write(text.toByteArray(Charsets.ISO_8859_1))

    fun write(bytes: ByteArray) {
        socket.getOutputStream().write(bytes)
        socket.getOutputStream().flush()
    }

    /** Closes the connection with a reset. */
    fun reset() {
        socket.setSoLinger(true, 0)
        socket.close()
    }

    fun answer(body: String, headers: String = "", status: String = "200 OK") =
        write("HTTP/1.1 $status\r\n${headers}Content-Length: ${body.length}\r\n\r\n$body")
}

/**
 * A backend server on plain sockets; [serve] writes the answer to each request. Without
 * [readsBodies] it is called when the head of a request was read.
 */
class RawTarget(
    private val readsBodies: Boolean = true,
    private val serve: RawConnection.(RawMessage) -> Unit
) : Closeable {
    private val server =
        ServerSocket(0, 256, InetAddress.getLoopbackAddress()).apply { soTimeout = ACCEPT_MILLIS }
    private val open = ConcurrentLinkedQueue<Socket>()
    val connections = AtomicInteger()
    val requests = ConcurrentLinkedQueue<RawMessage>()
    val endedEarly = ConcurrentLinkedQueue<String>()
    val port: Int get() = server.localPort

    private val acceptor = thread(isDaemon = true) {
        while (!server.isClosed) acceptNext()
    }

    private fun acceptNext() {
        try {
            accept(server.accept())
        } catch (_: SocketTimeoutException) {
            return
        } catch (_: SocketException) {
            return
        }
    }

    private fun accept(socket: Socket) {
        connections.incrementAndGet()
        open.add(socket)
        thread(isDaemon = true) {
            val input = BufferedInputStream(socket.getInputStream())
            try {
                while (true) {
                    val request = input.readMessage(readsBodies) ?: break
                    requests.add(request)
                    RawConnection(socket).serve(request)
                }
            } catch (e: IOException) {
                endedEarly.add(e.message.orEmpty())
            }
            socket.close()
        }
    }

    /**
     * Waits for the acceptor: while it is blocked in `accept`, the kernel goes on to accept
     * connections on a closed socket, and nobody answers them.
     */
    override fun close() {
        server.close()
        acceptor.join()
        open.forEach { it.close() }
    }

    private companion object {
        const val ACCEPT_MILLIS = 20
    }
}

/** Polls [condition] until it holds, for about 10 seconds. */
fun await(what: String, condition: () -> Boolean) {
    repeat(2_000) {
        if (condition()) return
        Thread.sleep(5)
    }
    error("condition not met within 10 s: $what")
}
