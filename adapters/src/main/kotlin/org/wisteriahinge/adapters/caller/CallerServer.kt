package org.wisteriahinge.adapters.caller

import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.call
import io.ktor.server.engine.embeddedServer
import io.ktor.server.netty.Netty
import io.ktor.server.request.httpMethod
import io.ktor.server.request.receive
import io.ktor.server.request.uri
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import java.io.Closeable
import java.time.Clock
import java.time.Duration
import kotlinx.coroutines.runBlocking
import org.wisteriahinge.adapters.WireHeaders
import org.wisteriahinge.adapters.backend.BackendClient
import org.wisteriahinge.core.call.CallEvent
import org.wisteriahinge.core.call.CallRequest
import org.wisteriahinge.core.model.Execution
import org.wisteriahinge.core.model.IdempotencyKey
import org.wisteriahinge.core.model.Refusal
import org.wisteriahinge.core.model.RefusalReason
import org.wisteriahinge.runtime.Offer

/** Where the caller server listens and the bounds it sets on callers' deadlines. */
public data class CallerServerSettings(
    val host: String,
    val port: Int,
    val defaultTimeout: Duration,
    val maxTimeout: Duration
)

/** Accepts callers' HTTP/1.1 requests and hands them to the `calls` duty. */
public class CallerServer(
    private val settings: CallerServerSettings,
    private val gateway: CallGateway,
    private val backend: BackendClient,
    private val hasher: CredentialHasher,
    private val clock: Clock
) : Closeable {
    private val server = embeddedServer(Netty, port = settings.port, host = settings.host) {
        routing {
            route("{...}") { handle { serve(call) } }
        }
    }

    /** Starts listening and returns the port in use. */
    public fun start(): Int {
        server.start(wait = false)
        return runBlocking { server.engine.resolvedConnectors().first().port }
    }

    private suspend fun serve(call: ApplicationCall) {
        val body = call.receive<ByteArray>().takeIf { it.isNotEmpty() }
        val request = read(call, body)
        val exchange = CallExchange(call, request, body, gateway, backend, clock)
        when (gateway.arrive(CallEvent.Arrived(request), exchange::accept)) {
            Offer.Accepted -> try {
                exchange.run()
            } finally {
                gateway.leave()
            }
            Offer.Full -> call.respondProblem(
                Refusal(
                    RefusalReason.InstanceOverloaded,
                    Execution.NotRun,
                    Duration.ofSeconds(1)
                ),
                request
            )
        }
    }

    private fun read(call: ApplicationCall, body: ByteArray?): CallRequest {
        val headers = call.request.headers
        val timeout = headers[WireHeaders.TIMEOUT_MILLIS]?.toLongOrNull()
            ?.let(Duration::ofMillis) ?: settings.defaultTimeout
        return CallRequest(
            callId = gateway.nextCallId(),
            credential = hasher.present(headers["Authorization"]),
            method = call.request.httpMethod.value,
            path = call.request.uri,
            idempotencyKey = headers[WireHeaders.IDEMPOTENCY_KEY]?.let(::IdempotencyKey),
            digest = null,
            deadline = clock.instant().plus(minOf(timeout, settings.maxTimeout)),
            depth = headers[WireHeaders.DEPTH]?.toIntOrNull() ?: 0,
            retriesAllowed = headers[WireHeaders.NO_RETRY] == null,
            bodyBytes = body?.size?.toLong() ?: 0,
            replayable = true
        )
    }

    override fun close() {
        server.stop(gracePeriodMillis = 0, timeoutMillis = 1_000)
    }
}
