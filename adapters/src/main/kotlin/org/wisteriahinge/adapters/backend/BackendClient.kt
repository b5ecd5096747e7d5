package org.wisteriahinge.adapters.backend

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.plugins.timeout
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.header
import io.ktor.client.request.prepareRequest
import io.ktor.client.request.setBody
import io.ktor.client.request.url
import io.ktor.client.statement.HttpResponse
import io.ktor.http.HttpMethod
import java.io.Closeable
import org.wisteriahinge.core.call.Attempt

/** Sends attempts to targets. Answers are handed over before their bodies are read. */
public class BackendClient(maxConnectionsPerTarget: Int) : Closeable {
    private val client = HttpClient(CIO) {
        expectSuccess = false
        followRedirects = false
        install(HttpTimeout)
        engine {
            endpoint.maxConnectionsPerRoute = maxConnectionsPerTarget
        }
    }

    /** Sends [request] to the target of [attempt] and passes the answer's head to [onAnswer]. */
    public suspend fun send(
        attempt: Attempt,
        request: BackendRequest,
        onAnswer: suspend (HttpResponse) -> Unit
    ) {
        client.prepareRequest { fill(attempt, request) }.execute { onAnswer(it) }
    }

    private fun HttpRequestBuilder.fill(attempt: Attempt, request: BackendRequest) {
        method = HttpMethod.parse(request.method)
        url("http://${attempt.target.address}${request.pathAndQuery}")
        request.headers.forEach { (name, value) -> header(name, value) }
        request.body?.let { setBody(it) }
        timeout { requestTimeoutMillis = request.remainingMillis }
    }

    override fun close() {
        client.close()
    }
}
