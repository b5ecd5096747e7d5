package org.wisteriahinge.adapters.backend

import java.time.Duration
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows
import org.wisteriahinge.adapters.caller.RawConnection
import org.wisteriahinge.adapters.caller.RawMessage
import org.wisteriahinge.adapters.caller.RawTarget
import org.wisteriahinge.core.call.AttemptFailure
import org.wisteriahinge.core.model.Address
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue

private const val ID = "Request-Id"
private const val LATER_MILLIS = 200L

/**
 * Guards against bytes on a kept connection that become the answer to a request they do not belong
 * to: late second answers, answers without an id, and parts of answers.
 */
class ForeignAnswerTest {
    private val call = { id: String ->
        BackendRequest(
            method = "GET",
            pathAndQuery = "/$id",
            headers = persistentListOf(HeaderField(ID, id)),
            body = RequestBody.None,
            remaining = Duration.ofSeconds(5),
            ownership = AnswerOwnership.Repeats(HeaderField(ID, id))
        )
    }
    private val probe = BackendRequest(
        method = "GET",
        pathAndQuery = "/health",
        headers = persistentListOf(),
        body = RequestBody.None,
        remaining = Duration.ofSeconds(5),
        ownership = AnswerOwnership.RepeatsNothing(ID)
    )

    private fun RawConnection.answerTo(request: RawMessage) =
        answer(request.header(ID).orEmpty(), "$ID: ${request.header(ID)}\r\n")

    private fun withTarget(
        serve: RawConnection.(RawMessage) -> Unit,
        use: (RawTarget, (BackendRequest) -> FetchedAnswer) -> Unit
    ) {
        RawTarget(serve = serve).use { target ->
            BackendClient(ConnectionLimits(perTarget = 1)).use { client ->
                use(target) { client.fetch(Address("127.0.0.1", target.port), it) }
            }
        }
    }

    @Test
    fun `a late second answer to a call is not the answer to a probe`() {
        val serve: RawConnection.(RawMessage) -> Unit = { request ->
            if (request.header(ID) != null) {
                answerTo(request)
            } else {
                answer("a", "$ID: a\r\n")
                answer("", "Load: 1\r\n", "503 Service Unavailable")
            }
        }
        withTarget(serve) { _, send ->
            send(call("a"))
            expectThat(send(probe).head.status).isEqualTo(503)
        }
    }

    @Test
    fun `the answer to a probe behind a late second answer is not the answer to a call`() {
        val serve: RawConnection.(RawMessage) -> Unit = { request ->
            if (request.header(ID) != null) {
                answerTo(request)
            } else {
                answer("a", "$ID: a\r\n")
                Thread.sleep(LATER_MILLIS)
                answer("", "Not-Run: 1\r\n", "503 Service Unavailable")
            }
        }
        withTarget(serve) { _, send ->
            send(call("a"))
            send(probe)
            expectThat(send(call("b")).body.decodeToString()).isEqualTo("b")
        }
    }

    @Test
    fun `an answer without an id on a kept connection is nobody's`() {
        val serve: RawConnection.(RawMessage) -> Unit = { request ->
            if (request.header(ID) == "b") {
                answer("", "Not-Run: 1\r\n", "503 Service Unavailable")
            }
            answerTo(request)
        }
        withTarget(serve) { _, send ->
            send(call("a"))
            val failure = assertThrows<AttemptFailedException> { send(call("b")) }
            expectThat(failure.failure).isEqualTo(AttemptFailure.InvalidAnswer)
            expectThat(send(call("c")).body.decodeToString()).isEqualTo("c")
        }
    }

    @Test
    fun `a part of an answer behind the whole one does not become the next head`() {
        val serve: RawConnection.(RawMessage) -> Unit = { request ->
            val id = request.header(ID)
            if (id == "a") {
                write(
                    "HTTP/1.1 200 OK\r\n$ID: a\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nX: "
                )
            } else {
                answer("", "$ID: $id\r\n", "500 Internal Server Error")
            }
        }
        withTarget(serve) { target, send ->
            send(call("a"))
            expectThat(send(call("b")).head.status).isEqualTo(500)
            expectThat(target.connections.get()).isEqualTo(2)
        }
    }

    @Test
    fun `a part of an answer before the whole one makes it invalid`() {
        val serve: RawConnection.(RawMessage) -> Unit = { request ->
            if (request.header(ID) == "b") write("HTTP/1.1 200 OK\r\nX: ")
            answer("", "$ID: ${request.header(ID)}\r\n", "500 Internal Server Error")
        }
        withTarget(serve) { _, send ->
            send(call("a"))
            val failure = assertThrows<AttemptFailedException> { send(call("b")) }
            expectThat(failure.failure).isEqualTo(AttemptFailure.InvalidAnswer)
        }
    }

    @Test
    fun `bytes on an idle connection close it`() {
        val closed = CountDownLatch(1)
        val serve: RawConnection.(RawMessage) -> Unit = { request ->
            answerTo(request)
            if (request.header(ID) == "a") {
                Thread.sleep(LATER_MILLIS)
                write("HTTP/1.1 200 OK\r\nX: ")
                if (socket.getInputStream().read() < 0) closed.countDown()
            }
        }
        withTarget(serve) { target, send ->
            send(call("a"))
            expectThat(closed.await(10, TimeUnit.SECONDS)).isTrue()
            expectThat(send(call("b")).body.decodeToString()).isEqualTo("b")
            expectThat(target.connections.get()).isEqualTo(2)
        }
    }

    @Test
    fun `a late second answer before the own one is skipped`() {
        val serve: RawConnection.(RawMessage) -> Unit = { request ->
            if (request.header(ID) == "b") answer("a", "$ID: a\r\n")
            answerTo(request)
        }
        withTarget(serve) { target, send ->
            send(call("a"))
            expectThat(send(call("b")).body.decodeToString()).isEqualTo("b")
            expectThat(target.connections.get()).isEqualTo(1)
        }
    }

    @Test
    fun `an earlier refusal that is written once more does not refuse the next request`() {
        val serve: RawConnection.(RawMessage) -> Unit = { request ->
            if (request.header(ID) == "b") {
                answer("", "$ID: a\r\nNot-Run: 1\r\n", "503 Service Unavailable")
                answerTo(request)
            } else {
                answer("", "$ID: a\r\nNot-Run: 1\r\n", "503 Service Unavailable")
            }
        }
        withTarget(serve) { target, send ->
            expectThat(send(call("a")).head.status).isEqualTo(503)
            expectThat(send(call("b")).body.decodeToString()).isEqualTo("b")
            expectThat(target.connections.get()).isEqualTo(1)
        }
    }
}
