package org.wisteriahinge.adapters.admin

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import io.ktor.server.netty.Netty
import io.ktor.server.response.respondBytes
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.routing
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream
import java.io.Closeable
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json

/** Serves `/live`, `/ready`, `/metrics` and `/status` to operators and the platform. */
public class AdminServer(
    private val address: AdminAddress,
    private val view: AdminView,
    private val registry: PrometheusRegistry
) : Closeable {
    private val metricsWriter = PrometheusTextFormatWriter.builder().build()
    private val server = embeddedServer(
        Netty,
        configure = {
            connector {
                host = address.host
                port = address.port
            }
            workerGroupSize = 1
            callGroupSize = 1
            connectionGroupSize = 1
        }
    ) {
        routing {
            get("/live") { call.respondText("live\n") }
            get(address.readyPath) { ready(call) }
            get("/metrics") { metrics(call) }
            get("/status") { status(call) }
        }
    }

    /**
     * Starts listening and returns the port in use.
     *
     * @throws java.net.BindException if the address is in use.
     */
    public fun start(): Int {
        server.start(wait = false)
        return runBlocking { server.engine.resolvedConnectors().first().port }
    }

    private suspend fun ready(call: ApplicationCall) {
        val readiness = view.readiness()
        val document = ReadinessDocument(
            readiness.isReady,
            readiness.reason,
            view.status().configuration
        )
        call.respondText(
            Json.encodeToString(document) + "\n",
            ContentType.Application.Json,
            if (readiness.isReady) HttpStatusCode.OK else HttpStatusCode.ServiceUnavailable
        )
    }

    private suspend fun metrics(call: ApplicationCall) {
        val text = ByteArrayOutputStream()
        metricsWriter.write(text, registry.scrape())
        call.respondBytes(text.toByteArray(), ContentType.parse(metricsWriter.contentType))
    }

    private suspend fun status(call: ApplicationCall) {
        val json = Json.encodeToString(view.status()) + "\n"
        call.respondText(json, ContentType.Application.Json)
    }

    override fun close() {
        server.stop(gracePeriodMillis = 0, timeoutMillis = 500)
    }
}

/** Where the admin server listens, and the path at which it tells whether the instance is ready. */
public data class AdminAddress(
    val host: String,
    val port: Int,
    val readyPath: String = "/ready"
)
