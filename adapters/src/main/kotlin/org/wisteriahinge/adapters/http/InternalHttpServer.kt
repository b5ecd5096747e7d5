package org.wisteriahinge.adapters.http

import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.RecvByteBufAllocator
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
import java.util.ArrayDeque
import org.wisteriahinge.adapters.backend.IoLoop
import org.wisteriahinge.adapters.caller.HeadTimedOut
import org.wisteriahinge.adapters.caller.HeadTimeoutHandler
import org.wisteriahinge.adapters.clients.ClientRegistry
import org.wisteriahinge.adapters.clients.HeadNotHeld
import org.wisteriahinge.adapters.clients.ReadGate
import org.wisteriahinge.adapters.clients.TrackedClient
import org.wisteriahinge.core.clients.ClientActivity
import org.wisteriahinge.core.clients.ClientAddress
import org.wisteriahinge.core.model.Address
import org.wisteriahinge.core.model.RequestLimits

private const val MAX_BODY_BYTES = 4_096

/** Most bytes read from one connection before the others, and calls, have their turn. */
private const val MAX_BYTES_PER_TURN = 2 * 1_024
private const val MIN_READ_BYTES = 64
private const val FIRST_READ_BYTES = 512

/** Its timeouts bound how long a client may send a request and stay idle. */
private val REQUEST_LIMITS = RequestLimits()

/** What a request that was sent ahead takes in memory until its turn. */
private const val PENDING_REQUEST_BYTES = 2L * 1_024

/** The registry of clients, and the [address] in it of a server. */
internal class InternalClients(val registry: ClientRegistry, val address: ClientAddress)

/** The answer to a request to an [InternalHttpServer]. */
internal class InternalAnswer(
    val status: HttpResponseStatus,
    val body: ByteArray = ByteArray(0),
    val contentType: String? = null
)

/** A request and the means to answer it, now or later. Used on the I/O thread only. */
internal class InternalExchange(
    private val context: ChannelHandlerContext,
    request: FullHttpRequest,
    private val client: TrackedClient,
    private val onWritten: () -> Unit
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
        client.activity = ClientActivity.Answering
        if (!client.holdAnswer(answer.body.size)) {
            context.close()
            return
        }
        val written = context.writeAndFlush(response)
        written.addListener {
            client.answerRead(answer.body.size)
            onWritten()
        }
        if (!written.isDone) client.awaitReading()
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
    private val clients: InternalClients,
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
            .childOption(ChannelOption.RECVBUF_ALLOCATOR, readSizes())
            .childHandler(Initializer())
            .bind(address.host, address.port)
            .syncUninterruptibly()
            .channel()
        server = bound
        return (bound.localAddress() as InetSocketAddress).port
    }

    private fun readSizes(): RecvByteBufAllocator =
        AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_BYTES_PER_TURN)
            .maxMessagesPerRead(1)

    private inner class Initializer : ChannelInitializer<Channel>() {
        override fun initChannel(channel: Channel) {
            val client = clients.registry.admit(channel, clients.address) ?: return
            val gate = ReadGate(client)
            val timeout = HeadTimeoutHandler { REQUEST_LIMITS }
            channel.pipeline().addLast(
                gate,
                timeout,
                HttpServerCodec(),
                HttpObjectAggregator(MAX_BODY_BYTES),
                Handler(client, gate, timeout)
            )
        }
    }

    private inner class Handler(
        private val client: TrackedClient,
        private val gate: ReadGate,
        private val timeout: HeadTimeoutHandler
    ) : SimpleChannelInboundHandler<FullHttpRequest>() {
        private val pending = ArrayDeque<FullHttpRequest>()

        override fun channelRead0(context: ChannelHandlerContext, request: FullHttpRequest) {
            if (client.isBusy) {
                pending.add(request.retain())
                client.holdReceived(PENDING_REQUEST_BYTES)
            } else {
                serveNow(context, request)
            }
        }

        private fun serveNow(context: ChannelHandlerContext, request: FullHttpRequest) {
            timeout.headComplete()
            client.isBusy = true
            client.activity = ClientActivity.Serving
            serve(InternalExchange(context, request, client) { answered(context) })
        }

        private fun answered(context: ChannelHandlerContext) {
            client.requestEnded()
            timeout.awaitRequest()
            // Not from here: a long row of requests that are answered at once would nest too deep.
            context.executor().execute { serveNext(context) }
        }

        private fun serveNext(context: ChannelHandlerContext) {
            if (client.isBusy) return
            val next = pending.poll()
            if (next == null) {
                gate.resume(context.pipeline().context(gate) ?: return)
            } else {
                client.release(PENDING_REQUEST_BYTES)
                serveNow(context, next)
                next.release()
            }
        }

        override fun handlerRemoved(context: ChannelHandlerContext) {
            pending.forEach { it.release() }
            pending.clear()
        }

        override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
            if (event == HeadTimedOut || event == HeadNotHeld) context.close()
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
