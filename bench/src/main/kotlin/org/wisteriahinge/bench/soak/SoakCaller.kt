package org.wisteriahinge.bench.soak

import java.io.BufferedInputStream
import java.io.IOException
import java.io.InputStream
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.Socket
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.wisteriahinge.core.model.Address

private const val CONNECT_TIMEOUT_MILLIS = 500
private const val ANSWER_TIMEOUT_MILLIS = 2_500
private const val DEADLINE_MILLIS = 2_000
private const val NEWLINE = '\n'.code

/** An HTTP response as read from a caller's connection. */
private class RawAnswer(
    val status: Int,
    val headers: PersistentMap<String, String>,
    body: ByteArray
) {
    val text = body.decodeToString()
    val closes = headers["connection"].equals("close", ignoreCase = true)
}

/** An HTTP client with one persistent connection to the instance at [address]; not thread-safe. */
internal class SoakCaller(private val address: Address) {
    private var socket: Socket? = null

    /** Sends a request and waits for its answer. */
    fun send(id: String, method: String, path: String, body: ByteArray): SoakResult {
        val kept = socket
        val connection = kept ?: connect() ?: return SoakResult.NotSent
        socket = connection
        if (!write(connection, id, method, path, body)) return drop(SoakResult.NotSent)
        val answer = read(connection)
        if (answer == null || answer.closes) drop(SoakResult.Broken)
        return when {
            answer != null -> SoakResult.Answered(
                answer.status,
                answer.isGenuine(id, path, body.size)
            )
            else -> SoakResult.Broken
        }
    }

    /** Closes the connection, if one is open. */
    fun close() {
        drop(SoakResult.NotSent)
    }

    private fun drop(result: SoakResult): SoakResult {
        socket?.close()
        socket = null
        return result
    }

    private fun connect(): Socket? {
        val connection = Socket()
        return try {
            val host = InetAddress.getByName(address.host)
            connection.connect(InetSocketAddress(host, address.port), CONNECT_TIMEOUT_MILLIS)
            connection.soTimeout = ANSWER_TIMEOUT_MILLIS
            connection.tcpNoDelay = true
            connection
        } catch (_: IOException) {
            connection.close()
            null
        }
    }

    private fun write(
        connection: Socket,
        id: String,
        method: String,
        path: String,
        body: ByteArray
    ): Boolean {
        val head = "$method $path HTTP/1.1\r\nHost: 127.0.0.1\r\n" +
            "Wisteriahinge-Request-Id: $id\r\nWisteriahinge-Deadline-Ms: $DEADLINE_MILLIS\r\n" +
            if (body.isEmpty()) "\r\n" else "Content-Length: ${body.size}\r\n\r\n"
        return try {
            connection.getOutputStream().write(head.encodeToByteArray() + body)
            true
        } catch (_: IOException) {
            false
        }
    }

    private fun read(connection: Socket): RawAnswer? = try {
        BufferedInputStream(connection.getInputStream()).readAnswer()
    } catch (_: IOException) {
        null
    }

    private fun InputStream.readAnswer(): RawAnswer? {
        val status = readHeadLine()?.split(' ')?.getOrNull(1)?.toIntOrNull() ?: return null
        val headers = generateSequence { readHeadLine() }.takeWhile { it.isNotEmpty() }
            .fold(persistentHashMapOf<String, String>()) { all, line ->
                all.put(line.substringBefore(':').lowercase(), line.substringAfter(':').trim())
            }
        val length = headers["content-length"]?.toIntOrNull() ?: return null
        val body = readNBytes(length)
        return if (body.size < length) null else RawAnswer(status, headers, body)
    }

    private fun InputStream.readHeadLine(): String? {
        val bytes = generateSequence { read().takeIf { it >= 0 } }.takeWhile { it != NEWLINE }
            .map { it.toByte() }.toList().toByteArray()
        return if (bytes.isEmpty()) null else bytes.decodeToString().trimEnd('\r')
    }

    private fun RawAnswer.isGenuine(id: String, path: String, bytes: Int): Boolean =
        headers["wisteriahinge-server-stamp"] == "stamp-$id" && text == "$path $bytes"
}
