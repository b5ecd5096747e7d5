package org.wisteriahinge.adapters.admin

import io.netty.handler.codec.http.HttpResponseStatus
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream
import java.io.Closeable
import java.time.Clock
import java.time.Duration
import java.time.Instant
import kotlinx.serialization.json.Json
import org.wisteriahinge.adapters.backend.IoLoop
import org.wisteriahinge.adapters.clients.ClientRegistry
import org.wisteriahinge.adapters.http.InternalAnswer
import org.wisteriahinge.adapters.http.InternalClients
import org.wisteriahinge.adapters.http.InternalHttpServer
import org.wisteriahinge.core.clients.ClientAddress
import org.wisteriahinge.core.model.Address

private const val TEXT = "text/plain; charset=utf-8"
private const val JSON = "application/json"

/** Requests within this time get the same metrics; a scrape delays calls on the I/O thread. */
private val MAX_SCRAPE_AGE: Duration = Duration.ofMillis(500)

/**
 * HTTP server for operators and the platform, with the paths `/live`, `/metrics`, `/status` and
 * [AdminAddress.readyPath].
 *
 * [registry] is called for each scrape, at most twice a second.
 */
public class AdminServer(
    private val address: AdminAddress,
    private val view: AdminView,
    private val registry: () -> PrometheusRegistry,
    loop: IoLoop,
    clients: ClientRegistry,
    private val clock: Clock
) : Closeable {
    private val metricsWriter by lazy { PrometheusTextFormatWriter.builder().build() }
    private var scraped: Scrape? = null
    private val server = InternalHttpServer(
        Address(address.host, address.port),
        loop,
        InternalClients(clients, ClientAddress.Admin)
    ) {
        it.answer(page(it.uri.substringBefore('?')))
    }

    /**
     * Starts listening and returns the port in use.
     *
     * @throws java.net.BindException if the address is in use.
     */
    public fun start(): Int = server.start()

    private fun page(path: String): InternalAnswer = when (path) {
        address.readyPath -> ready()
        "/live" -> ok("live\n", TEXT)
        "/metrics" -> metrics()
        "/status" -> ok(Json.encodeToString(view.status()) + "\n", JSON)
        else -> InternalAnswer(
            HttpResponseStatus.NOT_FOUND,
            "not found\n".encodeToByteArray(),
            TEXT
        )
    }

    private fun ok(text: String, contentType: String) =
        InternalAnswer(HttpResponseStatus.OK, text.encodeToByteArray(), contentType)

    private fun ready(): InternalAnswer {
        val readiness = view.readiness()
        val document = ReadinessDocument(
            readiness.isReady,
            readiness.reason,
            view.status().configuration
        )
        val status = if (readiness.isReady) {
            HttpResponseStatus.OK
        } else {
            HttpResponseStatus.SERVICE_UNAVAILABLE
        }
        return InternalAnswer(
            status,
            (Json.encodeToString(document) + "\n").encodeToByteArray(),
            JSON
        )
    }

    private fun metrics(): InternalAnswer {
        val now = clock.instant()
        val current = scraped?.takeIf { now.isBefore(it.at + MAX_SCRAPE_AGE) } ?: scrape(now)
        scraped = current
        return InternalAnswer(HttpResponseStatus.OK, current.text, metricsWriter.contentType)
    }

    private fun scrape(now: Instant): Scrape {
        val text = ByteArrayOutputStream()
        metricsWriter.write(text, registry().scrape())
        return Scrape(text.toByteArray(), now)
    }

    private class Scrape(val text: ByteArray, val at: Instant)

    override fun close() {
        server.close()
    }
}

/** Where [AdminServer] listens, and the path of its readiness check. */
public data class AdminAddress(val host: String, val port: Int, val readyPath: String = "/ready")
