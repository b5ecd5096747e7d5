package org.wisteriahinge.app

import java.io.BufferedReader
import java.io.Closeable
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import org.wisteriahinge.core.model.Address

private const val LENGTH_HEADER = "content-length:"

/**
 * An HTTP server within the process that answers each request with [responseFor] its header lines.
 *
 * For the warm-up only: it supports no more of HTTP than the instance itself sends.
 */
internal class LoopbackTarget(private val responseFor: (head: List<String>) -> String) : Closeable {
    private val server = ServerSocket(0, 0, InetAddress.getLoopbackAddress())

    /** The address that the target listens on. */
    val address: Address get() = Address(server.inetAddress.hostAddress, server.localPort)

    fun start() {
        thread("warm-up-accept") { while (true) accept(server.accept()) }
    }

    private fun accept(socket: Socket) {
        thread("warm-up-target") {
            socket.use {
                val input = it.getInputStream().bufferedReader(Charsets.ISO_8859_1)
                while (true) answer(input, it)
            }
        }
    }

    private fun answer(input: BufferedReader, socket: Socket) {
        val head = generateSequence { input.readLine() }.takeWhile { it.isNotEmpty() }.toList()
        if (head.isEmpty()) throw IOException("connection closed before a request head was read")
        val length = head.firstOrNull { it.startsWith(LENGTH_HEADER, ignoreCase = true) }
            ?.substringAfter(':')?.trim()?.toInt() ?: 0
        repeat(length) { input.read() }
        socket.getOutputStream().write(responseFor(head).toByteArray(Charsets.ISO_8859_1))
    }

    private fun thread(name: String, run: () -> Unit) {
        val guarded = Runnable {
            try {
                run()
            } catch (_: IOException) {
                // Expected when the warm-up closes its sockets.
            }
        }
        Thread(guarded, name).apply { isDaemon = true }.start()
    }

    override fun close() {
        server.close()
    }
}
