package org.wisteriahinge.adapters.backend

import java.time.Duration
import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.assertThrows
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import org.wisteriahinge.adapters.caller.RawTarget
import org.wisteriahinge.core.model.Address
import org.wisteriahinge.core.model.Execution
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against an answer whose head ends early and that is passed on as a whole one. */
class CutHeadTest {
    private val request = BackendRequest(
        method = "GET",
        pathAndQuery = "/a",
        headers = persistentListOf(HeaderField("Request-Id", "a")),
        body = RequestBody.None,
        remaining = Duration.ofSeconds(5),
        ownership = AnswerOwnership.Repeats(HeaderField("Request-Id", "a"))
    )

    @ParameterizedTest
    @ValueSource(
        strings = [
            "HTTP/1.1 200",
            "HTTP/1.1 200 OK\r\n",
            "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n",
            "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Le",
            "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 5",
            "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 5\r\n",
            "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 0\r\n\r"
        ]
    )
    fun `a head that ends early is no answer, and the request may have run`(head: String) {
        RawTarget { _ ->
            write(head)
            socket.close()
        }.use { target ->
            BackendClient(ConnectionLimits(perTarget = 1)).use { client ->
                val failure = assertThrows<AttemptFailedException> {
                    client.fetch(Address("127.0.0.1", target.port), request)
                }.failure
                expectThat(failure.execution).isEqualTo(Execution.MayHaveRun)
            }
        }
    }
}
