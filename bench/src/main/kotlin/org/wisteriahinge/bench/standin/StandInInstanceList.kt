package org.wisteriahinge.bench.standin

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.call
import io.ktor.server.engine.embeddedServer
import io.ktor.server.netty.Netty
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.routing
import java.io.Closeable
import java.util.concurrent.atomic.AtomicReference
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import org.wisteriahinge.adapters.instances.WireInstance

/**
 * An HTTP server in place of the platform's instance list, for tests and measurements. Serves the
 * list last passed to [show], or 503 after [fail].
 */
public class StandInInstanceList : Closeable {
    private val listed = AtomicReference<PersistentList<WireInstance>?>(persistentListOf())
    private val server = embeddedServer(Netty, port = 0, host = "127.0.0.1") {
        routing {
            get("/instances") {
                val instances = listed.get()
                if (instances == null) {
                    call.respondText("down\n", status = HttpStatusCode.ServiceUnavailable)
                } else {
                    call.respondText(
                        Json.encodeToString<List<WireInstance>>(instances),
                        ContentType.Application.Json
                    )
                }
            }
        }
    }

    /** Starts listening on a free loopback port and returns the port. */
    public fun start(): Int {
        server.start(wait = false)
        return runBlocking { server.engine.resolvedConnectors().first().port }
    }

    /** Serves [instances] from now on, also after [fail]. */
    public fun show(instances: PersistentList<WireInstance>) {
        listed.set(instances)
    }

    /** Answers every request with 503 until the next [show]. */
    public fun fail() {
        listed.set(null)
    }

    override fun close() {
        server.stop(gracePeriodMillis = 0, timeoutMillis = 500)
    }
}
