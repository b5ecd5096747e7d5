package org.wisteriahinge.adapters.caller

import java.io.IOException
import java.time.Duration
import org.junit.jupiter.api.Test
import org.wisteriahinge.core.call.CallCounter
import org.wisteriahinge.core.clients.ClientAddress
import org.wisteriahinge.core.clients.ClientClosing
import org.wisteriahinge.core.clients.ClientLimits
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

private const val BODY_BYTES = 150_000

/** Guards against clients that keep memory or connections from others. */
class ClientLimitsTest {
    private fun put(bodyBytes: Int, headers: String = AUTHORIZATION) =
        "PUT /files/1 HTTP/1.1\r\nHost: lb\r\n${headers}Content-Length: $BODY_BYTES\r\n\r\n" +
            "x".repeat(bodyBytes)

    private fun CallerFixture.awaitClosing(reason: ClientClosing) = await(reason.wireName) {
        counted.contains(CallCounter.ClientClosed(ClientAddress.Callers, reason))
    }

    @Test
    fun `a body that stops short makes room for another one when the memory is full`() {
        val limits = ClientLimits(memoryBytes = 250_000, stalledAfter = Duration.ZERO)
        CallerFixture(listOf(RawTarget { answer("ok") }), clients = limits).use { fixture ->
            fixture.caller().use { stalled ->
                stalled.send(put(BODY_BYTES - 1))
                Thread.sleep(100)
                expectThat(fixture.exchange(put(BODY_BYTES))?.status).isEqualTo(200)
                expectThat(stalled.receive()).isRefusal(408, "slow_sender")
                fixture.awaitClosing(ClientClosing.MemoryFull)
            }
        }
    }

    @Test
    fun `a body is refused as not run when faster ones fill the memory`() {
        val limits = ClientLimits(memoryBytes = 250_000, stalledAfter = Duration.ofMinutes(1))
        CallerFixture(listOf(RawTarget { answer("ok") }), clients = limits).use { fixture ->
            fixture.caller().use { first ->
                first.send(put(BODY_BYTES - 1))
                Thread.sleep(100)
                expectThat(fixture.exchange(put(BODY_BYTES)))
                    .isRefusal(503, "instance_overloaded")
                expectThat(first.send("x").receive()?.status).isEqualTo(200)
            }
        }
    }

    @Test
    fun `the oldest connection without a request makes room for a new one`() {
        CallerFixture(listOf(RawTarget { answer("ok") }), clients = ClientLimits(4)).use {
            it.caller().use { oldest ->
                it.caller().use { other ->
                    Thread.sleep(100)
                    expectThat(it.exchange(get())?.status).isEqualTo(200)
                    expectThat(oldest.isClosedByServer()).isTrue()
                    expectThat(other.send(get()).receive()?.status).isEqualTo(200)
                }
            }
        }
    }

    @Test
    fun `a body has to arrive before the deadline`() {
        val target = RawTarget { answer("ok") }
        CallerFixture(listOf(target)).use {
            val headers = "${AUTHORIZATION}Wisteriahinge-Timeout-Ms: 300\r\n"
            expectThat(it.exchange(put(10, headers))).isRefusal(408, "slow_sender")
            expectThat(target.requests.any()).isFalse()
        }
    }

    @Test
    fun `a single request of many short fields or chunks is served`() {
        CallerFixture(listOf(RawTarget { answer(it.body.size.toString()) })).use {
            val fields = AUTHORIZATION + "a:\r\n".repeat(3_500)
            expectThat(it.exchange(get(headers = fields))?.status).isEqualTo(200)
            val chunked = "PUT /files/1 HTTP/1.1\r\nHost: lb\r\n$AUTHORIZATION" +
                "Transfer-Encoding: chunked\r\n\r\n" + "1\r\nx\r\n".repeat(300_000) +
                "0\r\n\r\n"
            expectThat(it.exchange(chunked)?.text).isEqualTo("300000")
        }
    }

    @Test
    fun `a client that reads no answers is closed`() {
        val limits = ClientLimits(answerReadTimeout = Duration.ofMillis(300))
        CallerFixture(listOf(RawTarget { answer("ok") }), clients = limits).use { fixture ->
            fixture.caller().use { caller ->
                val requests = get("/none").repeat(100)
                try {
                    repeat(10_000) { caller.send(requests) }
                } catch (_: IOException) {
                    // The connection was closed.
                }
                fixture.awaitClosing(ClientClosing.AnswerNotRead)
            }
        }
    }
}
