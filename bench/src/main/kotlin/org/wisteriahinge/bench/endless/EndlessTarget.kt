package org.wisteriahinge.bench.endless

import java.io.BufferedReader
import java.io.Closeable
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread
import org.wisteriahinge.bench.soak.ignoringFailures

private const val REQUEST_ID = "Wisteriahinge-Request-Id"
private const val PIECE_BYTES = 65_536
private const val BACKLOG = 512

/** Where in an answer the bytes without end begin. */
internal enum class EndlessPart {
    STATUS_LINE,
    HEADER,
    HEADERS,
    CHUNK_EXTENSION,
    CHUNKS,
    BODY_WITHOUT_LENGTH,
    BODY_WITH_LENGTH,
    INTERIM_ANSWERS
}

/**
 * A target that answers each request, also for its health, with bytes until the caller closes the
 * connection. [sentBytes] counts those of all targets that share it.
 */
internal class EndlessTarget(private val part: EndlessPart, private val sentBytes: AtomicLong) :
    Closeable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())

    /** The port at which it listens. */
    val port: Int get() = server.localPort

    /** Starts accepting connections. */
    fun start() {
        thread(isDaemon = true) {
            while (!server.isClosed) {
                val socket = ignoringFailures { server.accept() } ?: continue
                thread(isDaemon = true) { ignoringFailures { socket.use(::answer) } }
            }
        }
    }

    private fun answer(socket: Socket) {
        val id = readRequestId(socket.getInputStream().bufferedReader()) ?: return
        val output = socket.getOutputStream()
        output.write(beginning(id).encodeToByteArray())
        val piece = piece().encodeToByteArray()
        while (true) {
            output.write(piece)
            sentBytes.addAndGet(piece.size.toLong())
        }
    }

    /** The id in the head of the request, empty if it has none; null if the connection ended. */
    private fun readRequestId(input: BufferedReader): String? {
        val lines = generateSequence { input.readLine() }.takeWhile { it.isNotEmpty() }.toList()
        if (lines.isEmpty()) return null
        return lines.firstOrNull { it.startsWith(REQUEST_ID, ignoreCase = true) }
            ?.substringAfter(':')?.trim().orEmpty()
    }

    private fun beginning(id: String): String {
        val head = "HTTP/1.1 200 OK\r\n$REQUEST_ID: $id\r\n" +
            "Wisteriahinge-Server-Stamp: stamp-$id\r\n"
        val chunked = "${head}Transfer-Encoding: chunked\r\n\r\n"
        return when (part) {
            EndlessPart.STATUS_LINE -> "HTTP/1.1 200 "
            EndlessPart.HEADER -> "${head}X: "
            EndlessPart.HEADERS -> head
            EndlessPart.CHUNK_EXTENSION -> "${chunked}1;"
            EndlessPart.CHUNKS -> chunked
            EndlessPart.BODY_WITHOUT_LENGTH -> "$head\r\n"
            EndlessPart.BODY_WITH_LENGTH -> "${head}Content-Length: ${Long.MAX_VALUE}\r\n\r\n"
            EndlessPart.INTERIM_ANSWERS -> ""
        }
    }

    private fun piece(): String = when (part) {
        EndlessPart.STATUS_LINE,
        EndlessPart.HEADER,
        EndlessPart.CHUNK_EXTENSION,
        EndlessPart.BODY_WITHOUT_LENGTH,
        EndlessPart.BODY_WITH_LENGTH -> "x".repeat(PIECE_BYTES)
        EndlessPart.HEADERS -> "X: y\r\n".repeat(PIECE_BYTES / 6)
        EndlessPart.CHUNKS -> "10000\r\n${"x".repeat(PIECE_BYTES)}\r\n"
        EndlessPart.INTERIM_ANSWERS -> "HTTP/1.1 102 Processing\r\n\r\n".repeat(PIECE_BYTES / 27)
    }

    override fun close() = server.close()
}
