package org.wisteriahinge.adapters.relay

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
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.QueryStringDecoder
import java.io.Closeable
import java.net.InetSocketAddress
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import org.wisteriahinge.adapters.backend.IoLoop
import org.wisteriahinge.core.model.Address
import org.wisteriahinge.runtime.MirroredRecords

private const val MAX_REQUEST_BYTES = 4_096

/** Longest wait that a follower can ask for. */
private const val MAX_WAIT_MILLIS = 10_000L

/** Serves what this instance reads of [topics] to other instances, by the topics' names. */
public class RelayServer(
    private val address: Address,
    private val topics: PersistentMap<String, () -> MirroredRecords>,
    private val loop: IoLoop
) : Closeable {
    private var server: Channel? = null
    private var waiters: PersistentList<Waiter> = persistentListOf()

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

    /** Something was read; may be called on any thread. */
    public fun changed() {
        loop.run {
            val ready = waiters.filter { it.isReady() }
            waiters = waiters.removeAll(ready)
            ready.forEach { it.answer() }
        }
    }

    private inner class Initializer : ChannelInitializer<Channel>() {
        override fun initChannel(channel: Channel) {
            channel.pipeline()
                .addLast(HttpServerCodec(), HttpObjectAggregator(MAX_REQUEST_BYTES), Handler())
        }
    }

    private inner class Handler : SimpleChannelInboundHandler<FullHttpRequest>() {
        override fun channelRead0(context: ChannelHandlerContext, request: FullHttpRequest) {
            val query = QueryStringDecoder(request.uri())
            topics.entries.forEach { (name, records) ->
                when (query.path()) {
                    newestPath(name) -> return newest(context, records())
                    changesPath(name) -> return changes(context, query, records)
                }
            }
            context.answer(HttpResponseStatus.NOT_FOUND)
        }

        private fun newest(context: ChannelHandlerContext, records: MirroredRecords) {
            if (!records.isFollowing) return context.answer(HttpResponseStatus.SERVICE_UNAVAILABLE)
            val page = encodePage(records.newest.values, records.nextOffset)
            context.answer(HttpResponseStatus.OK, page)
        }

        private fun changes(
            context: ChannelHandlerContext,
            query: QueryStringDecoder,
            records: () -> MirroredRecords
        ) {
            val from = query.number("from")
            val waitMillis = query.number("wait_ms")?.coerceAtMost(MAX_WAIT_MILLIS)
            if (from == null || waitMillis == null) {
                return context.answer(HttpResponseStatus.BAD_REQUEST)
            }
            val waiter = Waiter(context, records, from)
            if (waiter.isReady()) return waiter.answer()
            waiters = waiters.add(waiter)
            waiter.startTimer(waitMillis)
        }

        // A connection that its peer resets is no fault of the instance.
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            context.close()
        }
    }

    private fun QueryStringDecoder.number(name: String): Long? =
        parameters()[name]?.singleOrNull()?.toLongOrNull()?.takeIf { it >= 0 }

    /** A follower that waits for records from [from] on. */
    private inner class Waiter(
        private val context: ChannelHandlerContext,
        private val records: () -> MirroredRecords,
        private val from: Long
    ) {
        private var timer: Future<*>? = null

        fun startTimer(waitMillis: Long) {
            timer = loop.executor.schedule(::waited, waitMillis, TimeUnit.MILLISECONDS)
        }

        private fun waited() {
            waiters = waiters.remove(this)
            answer()
        }

        fun isReady(): Boolean = records().let { !it.isFollowing || it.nextOffset > from }

        fun answer() {
            timer?.cancel(false)
            val known = records()
            val since = known.since(from)
            when {
                !known.isFollowing -> context.answer(HttpResponseStatus.SERVICE_UNAVAILABLE)
                since == null -> context.answer(HttpResponseStatus.GONE)
                // A follower that read elsewhere may be ahead.
                else -> context.answer(
                    HttpResponseStatus.OK,
                    encodePage(since, maxOf(known.nextOffset, from))
                )
            }
        }
    }

    override fun close() {
        server?.close()?.syncUninterruptibly()
    }
}

private fun ChannelHandlerContext.answer(
    status: HttpResponseStatus,
    body: ByteArray = ByteArray(0)
) {
    val response =
        DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body))
    HttpUtil.setContentLength(response, body.size.toLong())
    writeAndFlush(response).addListener(ChannelFutureListener.CLOSE_ON_FAILURE)
}
