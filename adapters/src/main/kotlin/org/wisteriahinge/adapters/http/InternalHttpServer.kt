package org.wisteriahinge.adapters.http

import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.ByteBufUtil
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
import java.io.Closeable
import java.net.InetSocketAddress
import org.wisteriahinge.adapters.backend.IoLoop
import org.wisteriahinge.core.model.Address

private const val MAX_BODY_BYTES = 4_096

/** The answer to a request to an [InternalHttpServer]. */
internal class InternalAnswer(
    val status: HttpResponseStatus,
    val body: ByteArray = ByteArray(0),
    val contentType: String? = null
)

/** A request and the means to answer it, now or later. Used on the I/O thread only. */
internal class InternalExchange(
    private val context: ChannelHandlerContext,
    request: FullHttpRequest
) {
    val uri: String = request.uri()
    val body: ByteArray = ByteBufUtil.getBytes(request.content())
    private val keepAlive = HttpUtil.isKeepAlive(request)

    /** Writes [answer]. To be called once. */
    fun answer(answer: InternalAnswer) {
        val response = DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            answer.status,
            Unpooled.wrappedBuffer(answer.body)
        )
        answer.contentType?.let { response.headers().set(HttpHeaderNames.CONTENT_TYPE, it) }
        HttpUtil.setContentLength(response, answer.body.size.toLong())
        if (!keepAlive) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        }
        val written = context.writeAndFlush(response)
        if (!keepAlive) written.addListener(ChannelFutureListener.CLOSE)
        written.addListener(ChannelFutureListener.CLOSE_ON_FAILURE)
    }
}

/**
 * HTTP server at [address] for requests of operators, the platform and other instances.
 *
 * It is not meant for callers. Each request is received completely before [serve] is called on the
 * I/O thread; its body must not exceed 4 KiB.
 */
internal class InternalHttpServer(
    private val address: Address,
    private val loop: IoLoop,
    private val serve: (InternalExchange) -> Unit
) : Closeable {
    private var server: Channel? = null

    /**
     * Starts listening and returns the port in use.
     *
     * @throws java.net.BindException if the address is in use.
     */
    fun start(): Int {
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
                .addLast(HttpServerCodec(), HttpObjectAggregator(MAX_BODY_BYTES), Handler())
        }
    }

    private inner class Handler : SimpleChannelInboundHandler<FullHttpRequest>() {
        override fun channelRead0(context: ChannelHandlerContext, request: FullHttpRequest) {
            serve(InternalExchange(context, request))
        }

        // Not logged: a peer may reset its connection at any time.
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            context.close()
        }
    }

    override fun close() {
        server?.close()?.syncUninterruptibly()
    }
}
