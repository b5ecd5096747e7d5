package org.wisteriahinge.adapters.backend

import java.time.Duration
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.assertThrows
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import org.wisteriahinge.adapters.caller.RawTarget
import org.wisteriahinge.adapters.caller.await
import org.wisteriahinge.core.call.AttemptFailure
import org.wisteriahinge.core.model.Address
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

private const val ID = "Request-Id"
private const val EXCHANGES = 40
private const val PIECE_BYTES = 8_192

/** More than the limits on a head, on skipped answers and on what the kernel's buffers take. */
private const val MAX_BYTES_FOR_EACH = 32L * 1_024 * 1_024

/** Bytes that [beginning] starts and that never end. */
private class Endless(val beginning: String, val piece: String)

private val HEAD = "HTTP/1.1 200 OK\r\n$ID: a\r\n"
private val CHUNKED = HEAD + "Transfer-Encoding: chunked\r\n\r\n"

private val endless = mapOf(
    "status line" to Endless("HTTP/1.1 200 ", "x"),
    "no protocol" to Endless("", "x"),
    "header" to Endless(HEAD + "X: ", "x"),
    "headers" to Endless(HEAD, "X: y\r\n"),
    "chunk size" to Endless(CHUNKED, "0"),
    "chunk extension" to Endless(CHUNKED + "1;", "x"),
    "trailer" to Endless(CHUNKED + "0\r\n", "X: y\r\n"),
    "interim answers" to Endless("", "HTTP/1.1 102 Processing\r\n\r\n"),
    "answers to other requests" to
        Endless("", "HTTP/1.1 200 OK\r\n$ID: z\r\nContent-Length: 0\r\n\r\n"),
    "body for another request" to Endless("HTTP/1.1 200 OK\r\n$ID: z\r\n\r\n", "x"),
    "body without a length" to Endless(HEAD + "\r\n", "x"),
    "body of a huge length" to Endless(HEAD + "Content-Length: 999999999999\r\n\r\n", "x"),
    "body in chunks" to Endless(CHUNKED, "1000\r\n" + "x".repeat(0x1000) + "\r\n")
)

/** Guards against a server that sends bytes until its caller closes the connection. */
class EndlessAnswerTest {
    private val failures = ConcurrentLinkedQueue<AttemptFailure>()
    private val ended = AtomicInteger()
    private val written = AtomicLong()
    private val closed = AtomicInteger()

    private inner class Observer : AnswerObserver {
        override fun answered(answer: BackendAnswer) {
            (answer.body as? AnswerBody.Streamed)?.flow?.resume()
        }

        override fun failed(failure: AttemptFailure, detail: String) {
            failures.add(failure)
            ended.incrementAndGet()
        }

        override fun received(piece: ByteArray) = Unit

        override fun completed() = Unit

        override fun truncated(detail: String) {
            ended.incrementAndGet()
        }
    }

    private fun target(bytes: Endless): RawTarget = RawTarget {
        try {
            write(bytes.beginning)
            val piece = bytes.piece.repeat(maxOf(1, PIECE_BYTES / bytes.piece.length))
            while (true) {
                write(piece)
                written.addAndGet(piece.length.toLong())
            }
        } finally {
            closed.incrementAndGet()
        }
    }

    private fun request(remaining: Duration) = BackendRequest(
        method = "GET",
        pathAndQuery = "/",
        headers = persistentListOf(HeaderField(ID, "a")),
        body = RequestBody.None,
        remaining = remaining,
        ownership = AnswerOwnership.Repeats(HeaderField(ID, "a"))
    )

    @ParameterizedTest
    @ValueSource(
        strings = [
            "status line", "no protocol", "header", "headers", "chunk size", "chunk extension",
            "trailer", "interim answers", "answers to other requests", "body for another request"
        ]
    )
    fun `bytes that never end fail their request long before its deadline`(name: String) {
        play(name, Duration.ofMinutes(1))
        expectThat(written.get()).isLessThan(EXCHANGES * MAX_BYTES_FOR_EACH)
    }

    @ParameterizedTest
    @ValueSource(strings = ["body without a length", "body in chunks"])
    fun `a body that never ends is cut off at the deadline`(name: String) =
        play(name, Duration.ofMillis(500))

    /** Guards against an answer of the store or a relay that fills the memory of the process. */
    @ParameterizedTest
    @ValueSource(strings = ["body without a length", "body in chunks", "body of a huge length"])
    fun `an answer that is fetched as a whole is given up when it is too long`(name: String) {
        target(endless.getValue(name)).use { target ->
            BackendClient(ConnectionLimits(perTarget = 1)).use { client ->
                val address = Address("127.0.0.1", target.port)
                val failed = assertThrows<AttemptFailedException> {
                    client.fetch(address, request(Duration.ofMinutes(1)))
                }
                expectThat(failed.failure).isEqualTo(AttemptFailure.InvalidAnswer)
                await("the connection closed") { closed.get() == 1 }
            }
        }
        expectThat(written.get()).isLessThan(MAX_BYTES_FOR_EACH)
    }

    private fun play(name: String, remaining: Duration) {
        target(endless.getValue(name)).use { target ->
            BackendClient(ConnectionLimits(perTarget = EXCHANGES)).use { client ->
                val address = Address("127.0.0.1", target.port)
                repeat(EXCHANGES) { client.send(address, request(remaining), Observer()) }
                await("all requests ended") { ended.get() == EXCHANGES }
                await("all connections closed") { closed.get() == EXCHANGES }
            }
        }
        expectThat(ended.get()).isEqualTo(EXCHANGES)
    }
}
