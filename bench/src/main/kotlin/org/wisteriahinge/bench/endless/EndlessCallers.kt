package org.wisteriahinge.bench.endless

import java.io.Closeable
import java.io.InputStream
import java.net.InetAddress
import java.net.Socket
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlinx.collections.immutable.toPersistentList
import org.wisteriahinge.bench.soak.ignoringFailures
import org.wisteriahinge.core.model.Address

private const val DEADLINE_MILLIS = 2_000
private const val BUFFER_BYTES = 65_536
private const val SLOW_BYTES = 1_024
private const val SLOW_PAUSE_MILLIS = 10L
private const val STOP_TIMEOUT_MILLIS = 5_000L

/** How a caller reads an answer that never ends. */
private enum class Reading { FAST, SLOW, NOT_AT_ALL }

/**
 * Callers of the endless answers of the instance at [address]. Half of them read as fast as they
 * can, the others slowly or not at all; each gives up at its deadline and calls again.
 */
internal class EndlessCallers(private val address: Address, count: Int) : Closeable {
    private val isStopped = AtomicBoolean()
    private val sent = AtomicInteger()
    private val threads = List(count) { index ->
        thread(isDaemon = true, start = false) { callUntilStopped(readingOf(index)) }
    }.toPersistentList()

    /** The number of calls so far. */
    val calls: Int get() = sent.get()

    fun start() = threads.forEach { it.start() }

    private fun readingOf(index: Int): Reading = when (index % 4) {
        0, 1 -> Reading.FAST
        2 -> Reading.SLOW
        else -> Reading.NOT_AT_ALL
    }

    private fun callUntilStopped(reading: Reading) {
        while (!isStopped.get()) {
            ignoringFailures { call(reading) }
        }
    }

    private fun call(reading: Reading) {
        val id = "endless-${sent.incrementAndGet()}"
        Socket(InetAddress.getByName(address.host), address.port).use { socket ->
            socket.soTimeout = DEADLINE_MILLIS
            val request = "GET /e/$id HTTP/1.1\r\nHost: 127.0.0.1\r\n" +
                "Wisteriahinge-Request-Id: $id\r\n" +
                "Wisteriahinge-Deadline-Ms: $DEADLINE_MILLIS\r\n\r\n"
            socket.getOutputStream().write(request.encodeToByteArray())
            read(socket.getInputStream(), reading)
        }
    }

    private fun read(input: InputStream, reading: Reading) {
        val until = System.nanoTime() + DEADLINE_MILLIS * 1_000_000L
        val buffer = ByteArray(if (reading == Reading.SLOW) SLOW_BYTES else BUFFER_BYTES)
        while (System.nanoTime() < until && !isStopped.get()) {
            when (reading) {
                Reading.FAST -> if (input.read(buffer) < 0) return
                Reading.SLOW -> {
                    if (input.read(buffer) < 0) return
                    Thread.sleep(SLOW_PAUSE_MILLIS)
                }
                Reading.NOT_AT_ALL -> Thread.sleep(SLOW_PAUSE_MILLIS)
            }
        }
    }

    /** Ends all calls and waits for their threads. */
    override fun close() {
        isStopped.set(true)
        threads.forEach { it.join(STOP_TIMEOUT_MILLIS) }
    }
}
