package org.wisteriahinge.adapters.admin

import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Clock
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.wisteriahinge.adapters.backend.IoLoop
import org.wisteriahinge.adapters.clients.ClientRegistry
import org.wisteriahinge.adapters.metrics.ConfigurationMetrics
import org.wisteriahinge.core.clients.ClientLimits
import org.wisteriahinge.core.configuration.ConfigurationStanding
import org.wisteriahinge.core.configuration.ConfigurationStatus
import org.wisteriahinge.core.lifecycle.LifecyclePhase
import org.wisteriahinge.core.lifecycle.Readiness
import org.wisteriahinge.core.model.RevisionNumber
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo

/** Guards against an instance that reports ready without a configuration, or not ready with one. */
class AdminServerTest {
    private val client = HttpClient.newHttpClient()
    private val loop = IoLoop()

    @AfterEach
    fun stop() {
        loop.close()
    }

    private fun get(port: Int, path: String): HttpResponse<String> = client.send(
        HttpRequest.newBuilder(URI("http://127.0.0.1:$port$path")).build(),
        HttpResponse.BodyHandlers.ofString()
    )

    private fun <T> withServer(standing: ConfigurationStanding, use: (port: Int) -> T): T {
        val registry = PrometheusRegistry()
        val status = ConfigurationStatus(RevisionNumber(7), RevisionNumber(8), standing)
        ConfigurationMetrics(registry).report(status)
        val clock = Clock.systemUTC()
        val clients = ClientRegistry(ClientLimits(), clock) { }
        val address = AdminAddress("127.0.0.1", 0)
        return AdminServer(address, FixedView(status), { registry }, loop, clients, clock)
            .use { use(it.start()) }
    }

    /** The view of an instance in the phase serving with [configuration]. */
    private class FixedView(private val configuration: ConfigurationStatus) : AdminView {
        override fun readiness() = Readiness.of(LifecyclePhase.Serving, configuration)

        override fun status() = StatusDocument(
            instance = "a#1",
            zone = "zone-a",
            phase = LifecyclePhase.Serving.chartName,
            configuration = configuration.standing.wireName,
            revision = configuration.revision.value,
            newestKnownRevision = configuration.newestKnown.value,
            callsInProgress = 0,
            callsRingWaiting = 0,
            callsRingCapacity = 1
        )
    }

    @Test
    fun `an instance without a configuration is live but not ready`() {
        withServer(ConfigurationStanding.Absent) { port ->
            expectThat(get(port, "/live").statusCode()).isEqualTo(200)
            expectThat(get(port, "/ready").statusCode()).isEqualTo(503)
        }
    }

    @Test
    fun `an instance with an unconfirmed configuration is ready and reports it on every path`() {
        withServer(ConfigurationStanding.Unconfirmed) { port ->
            val ready = get(port, "/ready")
            expectThat(ready.statusCode()).isEqualTo(200)
            expectThat(ready.body()).contains("\"configuration\":\"unconfirmed\"")
            expectThat(get(port, "/status").body())
                .contains("\"configuration\":\"unconfirmed\"").contains("\"revision\":7")
            expectThat(get(port, "/metrics").body())
                .contains("wisteriahinge_configuration_unconfirmed 1")
                .contains("wisteriahinge_configuration_newest_known 8")
        }
    }
}
