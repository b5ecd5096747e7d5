package org.wisteriahinge.bench.standin

import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.call
import io.ktor.server.engine.embeddedServer
import io.ktor.server.netty.Netty
import io.ktor.server.request.receive
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import java.io.Closeable
import java.time.Duration
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicReference
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.wisteriahinge.adapters.WireHeaders

/**
 * How a stand-in target treats requests: it answers with [answerStatus] after [serviceTime], or
 * refuses every request while [draining].
 */
public data class TargetBehaviour(
    val serviceTime: Duration = Duration.ZERO,
    val draining: Boolean = false,
    val answerStatus: Int = 200
)

/**
 * A backend server for tests and measurements, which reports its requests in flight and its [slots]
 * at `/load` and in a header of each answer. It does not enforce [slots].
 */
public class StandInTarget(public val name: String, private val slots: Int) : Closeable {
    private val inFlight = AtomicInteger()
    private val served = AtomicInteger()
    private val probed = AtomicInteger()
    private val refused = AtomicInteger()
    private val behaviour = AtomicReference(TargetBehaviour())
    private val server = embeddedServer(Netty, port = 0, host = "127.0.0.1") {
        routing {
            get("/load") { reportLoad(call) }
            route("{...}") { handle { serve(call) } }
        }
    }

    /** Number of requests that this target ran to the end. */
    public val servedCount: Int get() = served.get()

    /** Number of requests in flight. */
    public val inFlightCount: Int get() = inFlight.get()

    /** Number of requests that this target refused while draining. */
    public val refusedCount: Int get() = refused.get()

    /** Number of load probes received. */
    public val probedCount: Int get() = probed.get()

    /** Starts listening on a free loopback port and returns the port. */
    public fun start(): Int {
        server.start(wait = false)
        return runBlocking { server.engine.resolvedConnectors().first().port }
    }

    /** Replaces the behaviour for requests that arrive from now on. */
    public fun behave(next: TargetBehaviour) {
        behaviour.set(next)
    }

    private suspend fun reportLoad(call: ApplicationCall) {
        probed.incrementAndGet()
        val state = if (behaviour.get().draining) "draining" else "serving"
        call.respondText("""{"in_flight":${inFlight.get()},"slots":$slots,"state":"$state"}""")
    }

    private suspend fun serve(call: ApplicationCall) {
        val current = behaviour.get()
        val running = inFlight.incrementAndGet()
        try {
            call.response.header(WireHeaders.LOAD, "$running/$slots")
            if (current.draining) return refuseDraining(call)
            val body = call.receive<ByteArray>()
            if (!current.serviceTime.isZero) delay(current.serviceTime.toMillis())
            served.incrementAndGet()
            call.respondText(
                "$name served ${body.size} bytes\n",
                status = HttpStatusCode.fromValue(current.answerStatus)
            )
        } finally {
            inFlight.decrementAndGet()
        }
    }

    private suspend fun refuseDraining(call: ApplicationCall) {
        refused.incrementAndGet()
        call.response.header(WireHeaders.NOT_RUN, "draining")
        call.respondText("draining\n", status = HttpStatusCode.ServiceUnavailable)
    }

    override fun close() {
        server.stop(gracePeriodMillis = 0, timeoutMillis = 500)
    }
}
