package org.wisteriahinge.adapters.admin

import io.netty.handler.codec.http.HttpResponseStatus
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream
import java.io.Closeable
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

/**
 * HTTP server for operators and the platform, with the paths `/live`, `/metrics`, `/status` and
 * [AdminAddress.readyPath].
 *
 * [registry] is called for each scrape.
 */
public class AdminServer(
    private val address: AdminAddress,
    private val view: AdminView,
    private val registry: () -> PrometheusRegistry,
    loop: IoLoop,
    clients: ClientRegistry
) : Closeable {
    private val metricsWriter by lazy { PrometheusTextFormatWriter.builder().build() }
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
        val text = ByteArrayOutputStream()
        metricsWriter.write(text, registry().scrape())
        return InternalAnswer(HttpResponseStatus.OK, text.toByteArray(), metricsWriter.contentType)
    }

    override fun close() {
        server.close()
    }
}

/** Where [AdminServer] listens, and the path of its readiness check. */
public data class AdminAddress(val host: String, val port: Int, val readyPath: String = "/ready")
