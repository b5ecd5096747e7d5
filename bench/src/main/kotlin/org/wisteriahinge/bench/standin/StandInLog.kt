package org.wisteriahinge.bench.standin

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.call
import io.ktor.server.engine.embeddedServer
import io.ktor.server.netty.Netty
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.routing
import java.io.Closeable
import java.time.Duration
import java.util.concurrent.atomic.AtomicReference
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import org.wisteriahinge.adapters.log.WireAppendResult
import org.wisteriahinge.adapters.log.WireBounds
import org.wisteriahinge.adapters.log.WireRecord

private const val POLL_MILLIS = 5L

/**
 * The faults that a [StandInLog] injects: it delays every answer by [delay], refuses every request
 * with 503 while [down], and with [loseAppendAnswers] stores appended records but answers 504.
 */
public data class LogBehaviour(
    val delay: Duration = Duration.ZERO,
    val down: Boolean = false,
    val loseAppendAnswers: Boolean = false
)

/** The records of one stream, of which the first [expired] count as dropped by retention. */
private data class StandInStream(
    val records: PersistentList<String> = persistentListOf(),
    val expired: Int = 0
) {
    val bounds get() = WireBounds(expired.toLong(), records.size.toLong())
}

/** An in-memory HTTP server in place of the platform's log service, for tests and measurements. */
public class StandInLog : Closeable {
    private val streams =
        AtomicReference<PersistentMap<String, StandInStream>>(persistentHashMapOf())
    private val behaviour = AtomicReference(LogBehaviour())
    private val server = embeddedServer(Netty, port = 0, host = "127.0.0.1") {
        routing {
            post("/streams/{name}") { withFaults(call) { append(call) } }
            get("/streams/{name}") { withFaults(call) { read(call) } }
            get("/streams/{name}/bounds") { withFaults(call) { bounds(call) } }
        }
    }

    /** Starts listening on a free loopback port and returns the port. */
    public fun start(): Int {
        server.start(wait = false)
        return runBlocking { server.engine.resolvedConnectors().first().port }
    }

    /** Replaces the injected faults for requests that arrive from now on. */
    public fun behave(next: LogBehaviour) {
        behaviour.set(next)
    }

    private fun stream(call: ApplicationCall): StandInStream =
        streams.get()[call.parameters["name"].orEmpty()] ?: StandInStream()

    private suspend fun withFaults(call: ApplicationCall, serve: suspend () -> Unit) {
        val current = behaviour.get()
        delay(current.delay.toMillis())
        if (current.down) {
            call.respondText("down\n", status = HttpStatusCode.ServiceUnavailable)
        } else {
            serve()
        }
    }

    private suspend fun append(call: ApplicationCall) {
        val name = call.parameters["name"].orEmpty()
        val added = Json.decodeFromString<List<String>>(call.receiveText())
        val before = streams.getAndUpdate { all ->
            val stream = all[name] ?: StandInStream()
            all.put(name, stream.copy(records = stream.records.addAll(added)))
        }
        val offset = before[name]?.records?.size ?: 0
        if (behaviour.get().loseAppendAnswers) {
            call.respondText("lost\n", status = HttpStatusCode.GatewayTimeout)
        } else {
            respondJson(call, Json.encodeToString(WireAppendResult(offset.toLong())))
        }
    }

    private suspend fun read(call: ApplicationCall) {
        val from = call.parameters["from"]?.toLongOrNull() ?: 0
        val max = call.parameters["max"]?.toIntOrNull() ?: 1
        awaitRecord(call, from)
        val stream = stream(call)
        if (from < stream.expired) {
            val bounds = Json.encodeToString(stream.bounds)
            return respondJson(call, bounds, HttpStatusCode.Gone)
        }
        val found = stream.records.drop(from.toInt()).take(max)
            .mapIndexed { index, payload -> WireRecord(from + index, payload) }
        respondJson(call, Json.encodeToString(found))
    }

    private suspend fun awaitRecord(call: ApplicationCall, from: Long) {
        val polls = (call.parameters["wait_ms"]?.toLongOrNull() ?: 0) / POLL_MILLIS
        repeat(polls.toInt()) {
            if (stream(call).records.size > from) return
            delay(POLL_MILLIS)
        }
    }

    private suspend fun bounds(call: ApplicationCall) {
        respondJson(call, Json.encodeToString(stream(call).bounds))
    }

    private suspend fun respondJson(
        call: ApplicationCall,
        json: String,
        status: HttpStatusCode = HttpStatusCode.OK
    ) {
        call.respondText(json, ContentType.Application.Json, status)
    }

    override fun close() {
        server.stop(gracePeriodMillis = 0, timeoutMillis = 500)
    }
}
