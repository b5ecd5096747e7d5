@file:OptIn(InternalAPI::class)

package org.wisteriahinge.adapters.backend

import io.ktor.client.engine.HttpClientEngineBase
import io.ktor.client.engine.HttpClientEngineConfig
import io.ktor.client.engine.callContext
import io.ktor.client.request.HttpRequestData
import io.ktor.client.request.HttpResponseData
import io.ktor.http.Headers
import io.ktor.http.HttpProtocolVersion
import io.ktor.http.HttpStatusCode
import io.ktor.util.date.GMTDate
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.InternalAPI
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.util.concurrent.DefaultThreadFactory
import java.util.concurrent.TimeUnit
import kotlinx.coroutines.Dispatchers

/**
 * A Ktor client engine on Netty, the transport of Ktor's server.
 *
 * The engines that come with Ktor open a connection for each request or do not tell whether a
 * failed request was sent (`docs/decisions/http.md`). The request and its answer travel in a
 * [TargetExchange], because Ktor's URL type does not keep every request target byte for byte.
 */
internal class NettyClientEngine(limits: ConnectionLimits) : HttpClientEngineBase("netty-client") {
    // Unconfined: the exchange suspends at once, so another thread would only add a wake-up.
    override val config = HttpClientEngineConfig().apply { dispatcher = Dispatchers.Unconfined }

    private val group = MultiThreadIoEventLoopGroup(
        1,
        DefaultThreadFactory("backend-io", true),
        NioIoHandler.newFactory()
    )
    private val connections = TargetConnections(group, limits)

    override suspend fun execute(data: HttpRequestData): HttpResponseData {
        val callContext = callContext()
        val answer = exchange(data.attributes[TargetExchangeKey])
        return HttpResponseData(
            HttpStatusCode.fromValue(answer.status),
            GMTDate(),
            Headers.Empty,
            HttpProtocolVersion.HTTP_1_1,
            ByteReadChannel.Empty,
            callContext
        )
    }

    private suspend fun exchange(exchange: TargetExchange): BackendAnswer {
        val limitMillis = exchange.request.remaining.toMillis()
        val deadline =
            group.schedule({ exchange.expire() }, limitMillis, TimeUnit.MILLISECONDS)
        try {
            connections.send(exchange)
            return exchange.answer.await()
        } finally {
            deadline.cancel(false)
        }
    }

    override fun close() {
        super.close()
        connections.close()
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS)
    }
}
