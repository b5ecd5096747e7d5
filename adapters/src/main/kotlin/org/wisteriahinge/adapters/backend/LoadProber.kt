package org.wisteriahinge.adapters.backend

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.request.get
import io.ktor.client.statement.bodyAsText
import io.ktor.http.isSuccess
import java.io.Closeable
import java.io.IOException
import java.time.Clock
import java.time.Duration
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.wisteriahinge.core.call.CallEvent
import org.wisteriahinge.core.model.LoadReport
import org.wisteriahinge.core.model.Target

/** A report that takes longer is of no use, because load shifts within milliseconds. */
private val PROBE_TIMEOUT: Duration = Duration.ofMillis(500)

/** Body of `GET /load` at a target. */
@Serializable
internal data class LoadDocument(
    @SerialName("in_flight") val inFlight: Int,
    val slots: Int,
    val state: String
)

private const val DRAINING = "draining"
private val json = Json { ignoreUnknownKeys = true }

/** Asks targets for their load and hands each outcome to [report], which must not block. */
public class LoadProber(private val clock: Clock, private val report: (CallEvent) -> Unit) :
    Closeable {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
    private val client = HttpClient(CIO) {
        expectSuccess = false
        install(HttpTimeout) { requestTimeoutMillis = PROBE_TIMEOUT.toMillis() }
    }

    /** Starts a probe of [target] and returns at once. */
    public fun probe(target: Target) {
        scope.launch { report(outcomeOf(target)) }
    }

    private suspend fun outcomeOf(target: Target): CallEvent = try {
        val answer = client.get("http://${target.address}/load")
        if (answer.status.isSuccess()) {
            CallEvent.LoadReported(target.id, parse(answer.bodyAsText()))
        } else {
            CallEvent.ProbeFailed(target.id)
        }
    } catch (_: IOException) {
        CallEvent.ProbeFailed(target.id)
    } catch (_: SerializationException) {
        CallEvent.ProbeFailed(target.id)
    }

    private fun parse(text: String): LoadReport {
        val document = json.decodeFromString<LoadDocument>(text)
        val draining = document.state == DRAINING
        return LoadReport(document.inFlight, document.slots, clock.instant(), draining)
    }

    override fun close() {
        scope.cancel()
        client.close()
    }
}
