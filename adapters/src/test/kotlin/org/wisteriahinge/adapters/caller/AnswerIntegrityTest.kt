package org.wisteriahinge.adapters.caller

import java.util.concurrent.Callable
import java.util.concurrent.Executors
import kotlin.random.Random
import org.junit.jupiter.api.Test
import org.wisteriahinge.adapters.backend.ConnectionLimits
import org.wisteriahinge.core.call.CallCounter
import org.wisteriahinge.core.call.CallRequest
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.contains
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue

private const val LONG_BODY_BYTES = 300_000

/** Guards against answers that reach the wrong caller, are truncated unnoticed, or are altered. */
class AnswerIntegrityTest {
    private fun echo() = RawTarget { request ->
        val path = request.startLine.split(' ')[1]
        val size = path.substringAfterLast('-').toInt()
        val body = path.repeat(size / path.length + 1).take(size)
        if (size % 2 == 0) {
            answer(body)
        } else {
            write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            body.chunked(7_001).forEach { write("${it.length.toString(16)}\r\n$it\r\n") }
            write("0\r\n\r\n")
        }
    }

    @Test
    fun `each of many parallel callers gets the complete answer to its own request`() {
        val target = echo()
        CallerFixture(listOf(target), ConnectionLimits(perTarget = 5)).use { fixture ->
            val pool = Executors.newFixedThreadPool(12)
            val results = (1..12).map { number ->
                pool.submit(
                    Callable {
                        val random = Random(number)
                        fixture.caller().use { caller ->
                            (1..25).all {
                                val size = if (it % 5 ==
                                    0
                                ) {
                                    LONG_BODY_BYTES + it
                                } else {
                                    random.nextInt(2_000)
                                }
                                val path = "/results/c$number-$it-$size"
                                val answer = caller.send(get(path)).receive()
                                val expected = path.repeat(size / path.length + 1).take(size)
                                answer?.complete == true && answer.text == expected
                            }
                        }
                    }
                )
            }
            expectThat(results.map { it.get() }).all { isTrue() }
            expectThat(target.connections.get()).isLessThanOrEqualTo(5)
            pool.shutdown()
        }
    }

    @Test
    fun `closing idle connections truncates no answer`() {
        val slow = RawTarget {
            Thread.sleep(150)
            answer("whole")
        }
        CallerFixture(listOf(slow)).use { fixture ->
            fixture.caller().use { idle ->
                // Only connections that the server has accepted are idle.
                expectThat(idle.send(get()).receive()).isNotNull()
                fixture.caller().use { busy ->
                    busy.send(get())
                    await("forwarded") { slow.requests.size == 2 }
                    fixture.closeIdle()
                    expectThat(idle.isClosedByServer()).isTrue()
                    expectThat(busy.receive()).isNotNull().get { text }.isEqualTo("whole")
                    expectThat(busy.isClosedByServer()).isTrue()
                }
            }
        }
    }

    @Test
    fun `a truncated long answer aborts the caller's connection`() {
        val declared = RawTarget {
            write(
                "HTTP/1.1 200 OK\r\nContent-Length: $LONG_BODY_BYTES\r\n\r\n" + "x".repeat(100_000)
            )
            socket.close()
        }
        CallerFixture(listOf(declared)).use { fixture ->
            // The abort may discard the head that was written; the caller then gets no answer.
            val answer = fixture.exchange(get())
            expectThat(answer?.complete ?: false).isFalse()
            await("truncation counted") { fixture.counted.any { it is CallCounter.Truncated } }
        }
    }

    @Test
    fun `a truncated long chunked answer gets no last chunk`() {
        val chunked = RawTarget {
            write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            repeat(20) { write("2710\r\n${"x".repeat(10_000)}\r\n") }
            socket.close()
        }
        CallerFixture(listOf(chunked)).use { fixture ->
            val answer = fixture.exchange(get())
            expectThat(answer?.complete ?: false).isFalse()
        }
    }

    @Test
    fun `a truncated short chunked answer is reported as a failure of the target`() {
        val chunked = RawTarget {
            write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n")
            socket.close()
        }
        CallerFixture(listOf(chunked)).use { fixture ->
            val answer = fixture.exchange(get())
            expectThat(answer).isNotNull().get { status }.isEqualTo(502)
            expectThat(answer).isNotNull().get { text }.contains("may_have_run")
        }
    }

    @Test
    fun `a truncated short answer is reported as a failure of the target`() {
        val short = RawTarget {
            write("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nonly this")
            socket.close()
        }
        CallerFixture(listOf(short)).use { fixture ->
            val answer = fixture.exchange(get())
            expectThat(answer).isNotNull().get { status }.isEqualTo(502)
            expectThat(answer).isNotNull().get { text }.contains("may_have_run")
        }
    }

    @Test
    fun `an answer delimited by the close of its connection is delivered complete`() {
        val closeDelimited = RawTarget {
            write("HTTP/1.1 200 OK\r\n\r\nall of something")
            socket.close()
        }
        CallerFixture(listOf(closeDelimited)).use { fixture ->
            val answer = fixture.exchange(get())
            expectThat(answer).isNotNull().get { complete }.isTrue()
            expectThat(answer).isNotNull().get { text }.isEqualTo("all of something")
        }
    }

    @Test
    fun `an answer delimited by the close of its connection is not delivered after a reset`() {
        val reset = RawTarget {
            write("HTTP/1.1 200 OK\r\n\r\npart of something")
            Thread.sleep(100)
            socket.setSoLinger(true, 0)
            socket.close()
        }
        CallerFixture(listOf(reset)).use { fixture ->
            expectThat(fixture.exchange(get())).isNotNull().get { status }.isEqualTo(502)
        }
    }

    @Test
    fun `status, query and headers pass through except hop-by-hop headers`() {
        val target = RawTarget {
            answer(
                "made",
                "X-Kept: 1\r\nX-Secret-Hop: 2\r\nConnection: X-Secret-Hop\r\n" +
                    "Wisteriahinge-Load: 1/3\r\nContent-Type: text/odd; q=\"\r\n",
                "201 Created"
            )
        }
        CallerFixture(listOf(target)).use { fixture ->
            val headers = AUTHORIZATION + "Connection: X-Hop, keep-alive\r\nX-Hop: 1\r\n" +
                "X-End: 2\r\nTE: trailers\r\nWisteriahinge-No-Retry: 1\r\n" +
                "Wisteriahinge-Depth: 3\r\nWisteriahinge-Timeout-Ms: 5000\r\n"
            val answer = fixture.exchange(get("/results/1?a=%zz&&b=1+2%20&c", headers))
            expectThat(answer).isNotNull().and {
                get { status }.isEqualTo(201)
                get { header("X-Kept") }.isEqualTo("1")
                get { header("X-Secret-Hop") }.isNull()
                get { header("Wisteriahinge-Load") }.isNull()
                get { header("Content-Type") }.isEqualTo("text/odd; q=\"")
                get { text }.isEqualTo("made")
            }
            expectThat(target.requests.single()).and {
                get { startLine }.isEqualTo("GET /results/1?a=%zz&&b=1+2%20&c HTTP/1.1")
                get { header("Authorization") }.isNull()
                get { header("X-Hop") }.isNull()
                get { header("TE") }.isNull()
                get { header("X-End") }.isEqualTo("2")
                get { header("Wisteriahinge-Depth") }.isEqualTo("4")
                get { header("Wisteriahinge-No-Retry") }.isEqualTo("1")
                get { header("Wisteriahinge-Attempt") }.isEqualTo("1")
                get { header("Wisteriahinge-Timeout-Ms")!!.toInt() }.isLessThanOrEqualTo(5_000)
            }
        }
    }

    @Test
    fun `answers without a body keep their framing`() {
        val target = RawTarget { request ->
            if (request.startLine.startsWith("HEAD")) {
                write("HTTP/1.1 200 OK\r\nContent-Length: 77\r\n\r\n")
            } else {
                write("HTTP/1.1 204 No Content\r\n\r\n")
            }
        }
        CallerFixture(listOf(target)).use { fixture ->
            fixture.caller().use { caller ->
                caller.send(get().replaceFirst("GET", "HEAD"))
                val head = caller.receive(bodyExpected = false)
                expectThat(head).isNotNull().get { header("Content-Length") }.isEqualTo("77")
                val empty = caller.send(get()).receive()
                expectThat(empty).isNotNull().get { status }.isEqualTo(204)
            }
            expectThat(target.connections.get()).isEqualTo(1)
        }
    }

    @Test
    fun `a listener gets a copy of an answer within its size limit`() {
        val copies = java.util.concurrent.ConcurrentLinkedQueue<CapturedAnswer>()
        val listener = object : AnswerListener {
            override val maxBytes = 100
            override fun shouldCapture(request: CallRequest) = true
            override fun delivered(request: CallRequest, answer: CapturedAnswer) {
                copies.add(answer)
            }
        }
        val target = RawTarget { request ->
            answer(if (request.startLine.contains("long")) "x".repeat(101) else "short")
        }
        CallerFixture(listOf(target), listener = listener).use { fixture ->
            fixture.exchange(get("/results/long"))
            fixture.exchange(get("/results/short"))
            await("captured") { copies.isNotEmpty() }
            expectThat(copies.single().body.decodeToString()).isEqualTo("short")
            expectThat(fixture.counted.last()).isA<CallCounter.Answered>()
        }
    }
}
