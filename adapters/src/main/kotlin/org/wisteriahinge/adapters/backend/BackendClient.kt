package org.wisteriahinge.adapters.backend

import io.ktor.client.HttpClient
import io.ktor.client.request.prepareRequest
import io.ktor.client.request.url
import io.ktor.http.HttpMethod
import java.io.Closeable
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import org.wisteriahinge.core.model.Address

/** Sends attempts to targets. Long answers are handed over before their bodies are read. */
public class BackendClient(limits: ConnectionLimits) : Closeable {
    private val engine = NettyClientEngine(limits)
    private val client = HttpClient(engine) {
        expectSuccess = false
        followRedirects = false
        useDefaultTransformers = false
    }

    /**
     * Sends [request] to the target at [address] and passes the answer to [onAnswer].
     *
     * The connection is closed when [onAnswer] returns without having read the whole body, and
     * when the coroutine is cancelled.
     *
     * @throws AttemptFailedException if no answer came.
     * @throws BodyFaultException if the caller did not send the body as announced.
     */
    public suspend fun send(
        address: Address,
        request: BackendRequest,
        onAnswer: suspend (BackendAnswer) -> Unit
    ) {
        val exchange = TargetExchange(address, request)
        try {
            coroutineScope {
                val upload = launch { upload(exchange) }
                client.prepareRequest {
                    method = HttpMethod.parse(request.method)
                    url("http", address.host, address.port)
                    attributes.put(TargetExchangeKey, exchange)
                }.execute { onAnswer(exchange.answer.await()) }
                upload.cancel()
            }
        } finally {
            exchange.abandon()
        }
    }

    private suspend fun upload(exchange: TargetExchange) {
        when (val body = exchange.request.body) {
            RequestBody.None, is RequestBody.Whole -> Unit
            is RequestBody.Once -> try {
                RequestWriter(exchange).writeBody(body)
            } catch (e: CancellationException) {
                throw e
            } catch (e: BodyFaultException) {
                if (!exchange.answer.completeExceptionally(e)) throw e
            }
        }
    }

    override fun close() {
        client.close()
        engine.close()
    }
}
