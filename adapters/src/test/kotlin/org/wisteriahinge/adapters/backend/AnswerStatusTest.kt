package org.wisteriahinge.adapters.backend

import java.time.Duration
import java.util.concurrent.atomic.AtomicInteger
import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import org.wisteriahinge.adapters.caller.CallerFixture
import org.wisteriahinge.adapters.caller.RawTarget
import org.wisteriahinge.adapters.caller.get
import org.wisteriahinge.core.call.AttemptFailure
import org.wisteriahinge.core.model.Address
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull

/** Guards against an answer with a status that HTTP does not define, passed on or waited for. */
class AnswerStatusTest {
    private val request = BackendRequest(
        method = "GET",
        pathAndQuery = "/",
        headers = persistentListOf(),
        body = RequestBody.None,
        remaining = Duration.ofSeconds(3)
    )

    private fun fetch(statusLine: String): FetchedAnswer {
        val target = RawTarget { write("$statusLine\r\nContent-Length: 2\r\n\r\nno") }
        return target.use {
            BackendClient(ConnectionLimits(perTarget = 1)).use { client ->
                client.fetch(Address("127.0.0.1", target.port), request)
            }
        }
    }

    @ParameterizedTest
    @ValueSource(
        strings = ["000", "099", "600", "999", "0200", "2000", "20", "+20", "-20", "2x0", "200OK"]
    )
    fun `an answer whose status is not defined is invalid`(status: String) {
        val failed = assertThrows<AttemptFailedException> { fetch("HTTP/1.1 $status OK") }
        expectThat(failed.failure).isEqualTo(AttemptFailure.InvalidAnswer)
    }

    @ParameterizedTest
    @ValueSource(strings = ["200", "299", "404", "599"])
    fun `an answer whose status is defined is passed on`(status: String) {
        expectThat(fetch("HTTP/1.1 $status").head.status).isEqualTo(status.toInt())
    }

    @Test
    fun `an answer that switches protocols is invalid`() {
        val failed = assertThrows<AttemptFailedException> {
            fetch("HTTP/1.1 101 Switching Protocols")
        }
        expectThat(failed.failure).isEqualTo(AttemptFailure.InvalidAnswer)
    }

    @ParameterizedTest
    @ValueSource(strings = ["HTTP/2.0", "HTTP/0.9", "ICY/1.1"])
    fun `an answer in another protocol is invalid`(protocol: String) {
        val failed = assertThrows<AttemptFailedException> { fetch("$protocol 200 OK") }
        expectThat(failed.failure).isEqualTo(AttemptFailure.InvalidAnswer)
    }

    @Test
    fun `a caller gets a refusal for an answer with status 000`() {
        val target = RawTarget { answer("", status = "000 OK") }
        CallerFixture(listOf(target)).use { fixture ->
            val answer = fixture.exchange(get())
            expectThat(answer).isNotNull().get { status }.isEqualTo(502)
            expectThat(answer).isNotNull().get { text }.contains("may_have_run")
        }
    }

    @Test
    fun `a request that may be repeated is sent on after an answer with status 000`() {
        val sent = AtomicInteger()
        val targets = List(2) {
            RawTarget {
                if (sent.getAndIncrement() == 0) answer("", status = "000 OK") else answer("whole")
            }
        }
        CallerFixture(targets).use { fixture ->
            val answer = fixture.exchange(get())
            expectThat(answer).isNotNull().get { text }.isEqualTo("whole")
        }
    }
}
