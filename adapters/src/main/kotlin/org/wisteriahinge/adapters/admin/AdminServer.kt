package org.wisteriahinge.adapters.admin

import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream
import java.io.Closeable
import java.net.InetSocketAddress
import kotlinx.serialization.json.Json
import org.wisteriahinge.adapters.backend.IoLoop

private const val MAX_REQUEST_BYTES = 4_096
private const val TEXT = "text/plain; charset=utf-8"
private const val JSON = "application/json"

/**
 * Serves `/live`, `/ready`, `/metrics` and `/status` to operators and the platform.
 *
 * [registry] is asked for with each scrape.
 */
public class AdminServer(
    private val address: AdminAddress,
    private val view: AdminView,
    private val registry: () -> PrometheusRegistry,
    private val loop: IoLoop
) : Closeable {
    private val metricsWriter by lazy { PrometheusTextFormatWriter.builder().build() }
    private var server: Channel? = null

    /**
     * Starts listening and returns the port in use.
     *
     * @throws java.net.BindException if the address is in use.
     */
    public fun start(): Int {
        val bound = ServerBootstrap()
            .group(loop.group)
            .channel(NioServerSocketChannel::class.java)
            .childHandler(Initializer())
            .bind(address.host, address.port)
            .syncUninterruptibly()
            .channel()
        server = bound
        return (bound.localAddress() as InetSocketAddress).port
    }

    private inner class Initializer : ChannelInitializer<Channel>() {
        override fun initChannel(channel: Channel) {
            channel.pipeline()
                .addLast(HttpServerCodec(), HttpObjectAggregator(MAX_REQUEST_BYTES), Handler())
        }
    }

    private inner class Handler : SimpleChannelInboundHandler<FullHttpRequest>() {
        override fun channelRead0(context: ChannelHandlerContext, request: FullHttpRequest) {
            val page = page(request.uri().substringBefore('?'))
            val response = DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                page.status,
                Unpooled.wrappedBuffer(page.body)
            )
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, page.contentType)
            HttpUtil.setContentLength(response, page.body.size.toLong())
            val written = if (HttpUtil.isKeepAlive(request)) {
                context.writeAndFlush(response)
            } else {
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
                context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE)
            }
            written.addListener(ChannelFutureListener.CLOSE_ON_FAILURE)
        }

        // A connection that its peer resets is no fault of the instance.
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            context.close()
        }
    }

    private class Page(
        val body: ByteArray,
        val contentType: String,
        val status: HttpResponseStatus = HttpResponseStatus.OK
    )

    private fun page(path: String): Page = when (path) {
        address.readyPath -> ready()
        "/live" -> Page("live\n".encodeToByteArray(), TEXT)
        "/metrics" -> metrics()
        "/status" -> Page((Json.encodeToString(view.status()) + "\n").encodeToByteArray(), JSON)
        else -> Page("not found\n".encodeToByteArray(), TEXT, HttpResponseStatus.NOT_FOUND)
    }

    private fun ready(): Page {
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
        return Page((Json.encodeToString(document) + "\n").encodeToByteArray(), JSON, status)
    }

    private fun metrics(): Page {
        val text = ByteArrayOutputStream()
        metricsWriter.write(text, registry().scrape())
        return Page(text.toByteArray(), metricsWriter.contentType)
    }

    override fun close() {
        server?.close()?.syncUninterruptibly()
    }
}

/** Where the admin server listens, and the path at which it tells whether the instance is ready. */
public data class AdminAddress(val host: String, val port: Int, val readyPath: String = "/ready")
