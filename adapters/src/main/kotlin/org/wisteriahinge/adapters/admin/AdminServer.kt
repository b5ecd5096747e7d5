package org.wisteriahinge.adapters.admin

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.call
import io.ktor.server.engine.embeddedServer
import io.ktor.server.netty.Netty
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.routing
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream
import java.io.Closeable
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.wisteriahinge.core.configuration.ConfigurationStanding
import org.wisteriahinge.core.configuration.ConfigurationStatus

/** Where operators and the platform look at an instance. */
public data class AdminSettings(val host: String, val port: Int)

/** Reads the status of the configuration; may be called from any thread. */
public fun interface ConfigurationView {
    public fun status(): ConfigurationStatus
}

/**
 * Serves `/live`, `/ready`, `/metrics` and `/status` on an address of its own.
 *
 * `/ready` is 503 without any configuration. An unconfirmed one stays ready and its body says so,
 * because refusing by all instances would stop every caller while the log is down.
 */
public class AdminServer(
    settings: AdminSettings,
    private val registry: PrometheusRegistry,
    private val configuration: ConfigurationView
) : Closeable {
    private val server = embeddedServer(Netty, port = settings.port, host = settings.host) {
        routing {
            get("/live") { call.respondText("live\n") }
            get("/ready") { ready(call) }
            get("/status") { status(call) }
            get("/metrics") { metrics(call) }
        }
    }

    /** Starts listening and returns the port in use. */
    public fun start(): Int {
        server.start(wait = false)
        return runBlocking { server.engine.resolvedConnectors().first().port }
    }

    private suspend fun ready(call: ApplicationCall) {
        val standing = configuration.status().standing
        val status = when (standing) {
            ConfigurationStanding.Absent -> HttpStatusCode.ServiceUnavailable
            ConfigurationStanding.Confirmed, ConfigurationStanding.Unconfirmed -> HttpStatusCode.OK
        }
        call.respondText("configuration: ${standing.wireName}\n", status = status)
    }

    private suspend fun status(call: ApplicationCall) {
        val current = configuration.status()
        val json = buildJsonObject {
            put("configuration", current.standing.wireName)
            put("revision", current.revision.value)
            put("newest_known_revision", current.newestKnown.value)
        }
        call.respondText("$json\n", ContentType.Application.Json)
    }

    private suspend fun metrics(call: ApplicationCall) {
        val text = ByteArrayOutputStream()
        PrometheusTextFormatWriter.create().write(text, registry.scrape())
        call.respondText(
            text.toString(Charsets.UTF_8),
            ContentType.parse(PrometheusTextFormatWriter.CONTENT_TYPE)
        )
    }

    override fun close() {
        server.stop(gracePeriodMillis = 0, timeoutMillis = 500)
    }
}
