package org.wisteriahinge.adapters.caller

import java.util.concurrent.CountDownLatch
import org.junit.jupiter.api.Test
import org.wisteriahinge.adapters.backend.ConnectionLimits
import org.wisteriahinge.core.call.AttemptFailure
import org.wisteriahinge.core.call.CallCounter
import org.wisteriahinge.core.model.RefusalReason
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull

private const val UPLOAD_BYTES = 3_000_000

/** Guards against reporting a wrong execution status of a request to the caller. */
class AttemptOutcomeTest {
    private fun CallerFixture.failures() =
        counted.filterIsInstance<CallCounter.AttemptFailed>().map { it.failure }

    @Test
    fun `a refused connection is not run`() {
        val closed = RawTarget { }
        CallerFixture(listOf(closed)).use { fixture ->
            closed.close()
            val answer = fixture.exchange(get())
            expectThat(answer).isNotNull().get { text }.contains("\"not_run\"")
            expectThat(fixture.failures().first()).isEqualTo(AttemptFailure.ConnectFailed)
        }
    }

    @Test
    fun `a request whose connection closes after it was sent may have run`() {
        val target = RawTarget { socket.close() }
        CallerFixture(listOf(target)).use { fixture ->
            val answer = fixture.exchange(get())
            expectThat(answer).isNotNull().get { text }.contains("may_have_run")
            expectThat(fixture.failures().first()).isEqualTo(AttemptFailure.Disconnected)
        }
    }

    @Test
    fun `a target that reports shed or draining did not run the request`() {
        listOf("shed" to AttemptFailure.Shed, "draining" to AttemptFailure.TargetDraining)
            .forEach { (word, failure) ->
                val target = RawTarget {
                    answer("", "Wisteriahinge-Not-Run: $word\r\n", "503 Service Unavailable")
                }
                CallerFixture(listOf(target)).use { fixture ->
                    val answer = fixture.exchange(get())
                    expectThat(answer).isNotNull().get { text }.contains("\"not_run\"")
                    expectThat(fixture.failures().first()).isEqualTo(failure)
                }
            }
    }

    @Test
    fun `an answer that is not HTTP is invalid`() {
        val target = RawTarget { write("hello there\r\n\r\n") }
        CallerFixture(listOf(target)).use { fixture ->
            expectThat(fixture.exchange(get())).isNotNull().get { status }.isEqualTo(502)
            expectThat(fixture.failures().first()).isEqualTo(AttemptFailure.InvalidAnswer)
        }
    }

    @Test
    fun `a request that exceeds its deadline at the target may have run and is disconnected`() {
        val closed = CountDownLatch(1)
        val target = RawTarget {
            if (socket.getInputStream().read() < 0) closed.countDown()
        }
        CallerFixture(listOf(target)).use { fixture ->
            val answer =
                fixture.exchange(get(headers = "${AUTHORIZATION}Wisteriahinge-Timeout-Ms: 200\r\n"))
            expectThat(answer).isNotNull().get { status }.isEqualTo(504)
            expectThat(answer).isNotNull().get { text }.contains("may_have_run")
            closed.await()
        }
    }

    @Test
    fun `a request that exceeds its deadline while waiting for a connection is not run`() {
        val release = CountDownLatch(1)
        val target = RawTarget {
            release.await()
            answer("ok")
        }
        CallerFixture(listOf(target), ConnectionLimits(perTarget = 1)).use { fixture ->
            val first = fixture.caller().send(get())
            await("first forwarded") { target.requests.size == 1 }
            val second =
                fixture.exchange(get(headers = "${AUTHORIZATION}Wisteriahinge-Timeout-Ms: 200\r\n"))
            expectThat(second).isNotNull().get { text }.contains("\"not_run\"")
            release.countDown()
            expectThat(first.receive()).isNotNull().get { text }.isEqualTo("ok")
            expectThat(target.requests).hasSize(1)
        }
    }

    @Test
    fun `when a caller disconnects its attempt is cancelled at the target`() {
        val closed = CountDownLatch(1)
        val target = RawTarget {
            if (socket.getInputStream().read() < 0) closed.countDown()
        }
        CallerFixture(listOf(target)).use { fixture ->
            fixture.caller().use { caller ->
                caller.send(get())
                await("forwarded") { target.requests.size == 1 }
            }
            closed.await()
            await("caller gone counted") {
                fixture.counted.contains(CallCounter.Refused(RefusalReason.CallerGone))
            }
        }
    }

    @Test
    fun `when a caller disconnects during a long answer the target's connection is closed`() {
        val stopped = CountDownLatch(1)
        val target = RawTarget {
            write("HTTP/1.1 200 OK\r\nContent-Length: 2000000000\r\n\r\n")
            try {
                while (true) write(ByteArray(64 * 1_024))
            } finally {
                stopped.countDown()
            }
        }
        CallerFixture(listOf(target)).use { fixture ->
            fixture.caller().use { it.send(get()).socket.getInputStream().readNBytes(100_000) }
            stopped.await()
            await("call ended") {
                fixture.counted.contains(CallCounter.Refused(RefusalReason.CallerGone))
            }
        }
    }

    @Test
    fun `a slow caller applies back-pressure to the target`() {
        val written = java.util.concurrent.atomic.AtomicLong()
        val target = RawTarget {
            write("HTTP/1.1 200 OK\r\nContent-Length: 2000000000\r\n\r\n")
            while (true) {
                write(ByteArray(64 * 1_024))
                written.addAndGet(64L * 1_024)
            }
        }
        CallerFixture(listOf(target)).use { fixture ->
            fixture.caller().use { caller ->
                caller.socket.receiveBufferSize = 16 * 1_024
                caller.send(get()).socket.getInputStream().readNBytes(1_000)
                await("writer blocked") {
                    val before = written.get()
                    Thread.sleep(300)
                    before > 0 && written.get() == before
                }
                expectThat(written.get() < 100_000_000).isEqualTo(true)
            }
        }
    }

    @Test
    fun `uploads arrive complete, buffered or streamed, with a length or chunked`() {
        val target = RawTarget { request -> answer("${request.body.size} ${request.complete}") }
        CallerFixture(listOf(target)).use { fixture ->
            val head = "PUT /files/1 HTTP/1.1\r\nHost: lb\r\n$AUTHORIZATION"
            fixture.caller().use { caller ->
                listOf(10, UPLOAD_BYTES).forEach { size ->
                    val body = "x".repeat(size)
                    val sized = caller.send("${head}Content-Length: $size\r\n\r\n$body").receive()
                    expectThat(sized).isNotNull().get { text }.isEqualTo("$size true")
                    val chunks = body.chunked(50_000)
                        .joinToString("") { "${it.length.toString(16)}\r\n$it\r\n" }
                    caller.send("${head}Transfer-Encoding: chunked\r\n\r\n${chunks}0\r\n\r\n")
                    expectThat(caller.receive()).isNotNull().get { text }.isEqualTo("$size true")
                }
            }
        }
    }

    @Test
    fun `a malformed chunked upload does not reach the target as a complete request`() {
        val target = RawTarget { answer("got it") }
        CallerFixture(listOf(target)).use { fixture ->
            val chunk = "x".repeat(400_000)
            val answer = fixture.exchange(
                "PUT /files/1 HTTP/1.1\r\nHost: lb\r\n$AUTHORIZATION" +
                    "Transfer-Encoding: chunked\r\n\r\n${chunk.length.toString(
                        16
                    )}\r\n$chunk\r\nzz\r\n"
            )
            expectThat(answer).isNotNull().get { status }.isEqualTo(400)
            expectThat(target.requests.filter { it.complete }).isEmpty()
        }
    }
}
