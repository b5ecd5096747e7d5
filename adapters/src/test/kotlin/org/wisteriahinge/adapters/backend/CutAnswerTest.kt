package org.wisteriahinge.adapters.backend

import java.net.SocketException
import java.time.Duration
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.wisteriahinge.adapters.caller.AUTHORIZATION
import org.wisteriahinge.adapters.caller.CallerFixture
import org.wisteriahinge.adapters.caller.RawCaller
import org.wisteriahinge.adapters.caller.RawMessage
import org.wisteriahinge.adapters.caller.RawTarget
import org.wisteriahinge.adapters.caller.await
import org.wisteriahinge.core.call.AttemptFailure
import org.wisteriahinge.core.model.Address
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotEqualTo
import strikt.assertions.isTrue

/** More than the buffers of both sockets hold, so that it is never written completely. */
private const val UPLOAD_BYTES = 64 * 1_024 * 1_024
private const val SHORT_PART_BYTES = 1_000

private const val PIECE_BYTES = 64 * 1_024

/** More than is read before the head of an answer is passed on. */
private const val LONG_PART_BYTES = 200_000

/** Time in which the part of an answer is read and the writing of the upload comes to a halt. */
private const val READ_MILLIS = 300L

/**
 * Guards against an answer without a length that is passed on as a whole one although its
 * connection did not end in order.
 */
class CutAnswerTest {
    private fun upload(body: RequestBody = RequestBody.Buffered(ByteArray(UPLOAD_BYTES))) =
        BackendRequest(
            method = "PUT",
            pathAndQuery = "/files/1",
            headers = persistentListOf(),
            body = body,
            remaining = Duration.ofSeconds(10)
        )

    private fun resettingTarget(version: String, bytes: Int) = RawTarget(readsBodies = false) {
        write("$version 200 OK\r\n\r\n" + "x".repeat(bytes))
        Thread.sleep(READ_MILLIS)
        reset()
    }

    private fun RawTarget.fetch(request: BackendRequest): FetchedAnswer = use { target ->
        BackendClient(ConnectionLimits(perTarget = 1)).use {
            it.fetch(Address("127.0.0.1", target.port), request)
        }
    }

    @ParameterizedTest
    @CsvSource(
        "HTTP/1.1, $SHORT_PART_BYTES",
        "HTTP/1.1, $LONG_PART_BYTES",
        "HTTP/1.0, $SHORT_PART_BYTES",
        "HTTP/1.0, $LONG_PART_BYTES"
    )
    fun `an answer is cut when a reset ends the writing of its request`(
        version: String,
        bytes: Int
    ) {
        val failed = assertThrows<AttemptFailedException> {
            resettingTarget(version, bytes).fetch(upload())
        }
        expectThat(failed.failure).isEqualTo(AttemptFailure.Truncated)
    }

    @Test
    fun `an answer is cut when its connection ends before its request was written`() {
        val closing = RawTarget(readsBodies = false) {
            write("HTTP/1.1 200 OK\r\n\r\npart")
            socket.shutdownOutput()
            Thread.sleep(READ_MILLIS)
        }
        val failed = assertThrows<AttemptFailedException> { closing.fetch(upload()) }
        expectThat(failed.failure).isEqualTo(AttemptFailure.Truncated)
    }

    @Test
    fun `an answer is not whole when the client closes its connection`() {
        val target = RawTarget {
            write("HTTP/1.1 200 OK\r\n\r\npart")
            Thread.sleep(2 * READ_MILLIS)
        }
        target.use {
            val client = BackendClient(ConnectionLimits(perTarget = 1))
            val outcome = Outcome()
            client.send(Address("127.0.0.1", target.port), upload(RequestBody.None), outcome)
            await("the request arrived") { target.requests.size == 1 }
            Thread.sleep(READ_MILLIS)
            client.close()
            val failure = outcome.failure.get(10, TimeUnit.SECONDS)
            expectThat(failure).isEqualTo(AttemptFailure.Truncated)
        }
    }

    @Test
    fun `an early answer with a length is whole and the upload ends with its connection`() {
        val received = CountDownLatch(1)
        val early = RawTarget(readsBodies = false) {
            answer("early")
            Thread.sleep(READ_MILLIS)
            while (socket.getInputStream().read(ByteArray(UPLOAD_BYTES)) >= 0) Unit
            received.countDown()
        }
        early.use { target ->
            BackendClient(ConnectionLimits(perTarget = 1)).use {
                val answer = it.fetch(Address("127.0.0.1", target.port), upload())
                expectThat(answer.body.decodeToString()).isEqualTo("early")
                expectThat(received.await(10, TimeUnit.SECONDS)).isTrue()
            }
        }
    }

    @Test
    fun `an answer that ends with its connection after its request was read is whole`() {
        val target = RawTarget { request ->
            write("HTTP/1.0 200 OK\r\n\r\n${request.body.size}")
            socket.close()
        }
        expectThat(target.fetch(upload()).body.decodeToString()).isEqualTo("$UPLOAD_BYTES")
    }

    /** The failure of an exchange; null if it was answered. */
    private class Outcome : AnswerObserver {
        val failure = CompletableFuture<AttemptFailure?>()

        override fun answered(answer: BackendAnswer) {
            failure.complete(null)
        }

        override fun failed(failure: AttemptFailure, detail: String) {
            this.failure.complete(failure)
        }

        override fun received(piece: ByteArray) = Unit

        override fun completed() = Unit

        override fun truncated(detail: String) = Unit
    }

    /** Sends an upload until its connection is closed. */
    private fun RawCaller.startUpload() = thread(isDaemon = true) {
        try {
            send(
                "PUT /files/1 HTTP/1.1\r\nHost: lb\r\n$AUTHORIZATION" +
                    "Content-Length: $UPLOAD_BYTES\r\n\r\n"
            )
            val piece = "x".repeat(PIECE_BYTES)
            repeat(UPLOAD_BYTES / PIECE_BYTES) { send(piece) }
        } catch (_: SocketException) {
            // The connection was closed before the end of the upload.
        }
    }

    /** The answer that a caller gets while it sends an upload to a target that resets. */
    private fun answerToResetUpload(partBytes: Int): RawMessage? =
        CallerFixture(listOf(resettingTarget("HTTP/1.1", partBytes))).use { fixture ->
            fixture.caller().use { caller ->
                caller.startUpload()
                caller.receive()
            }
        }

    /** The close of its connection may take the refusal from the caller, which still sends. */
    @Test
    fun `a caller does not get the part of an answer that is reset during its upload`() {
        expectThat(answerToResetUpload(SHORT_PART_BYTES)?.status).isNotEqualTo(200)
    }

    @Test
    fun `a caller's connection is aborted when a long answer is reset during its upload`() {
        val answer = answerToResetUpload(LONG_PART_BYTES)
        expectThat(answer?.status == 200 && answer.complete).isFalse()
    }
}
