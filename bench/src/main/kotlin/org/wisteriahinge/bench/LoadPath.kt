package org.wisteriahinge.bench

import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpVersion
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.atomic.AtomicInteger
import org.HdrHistogram.ConcurrentHistogram

private const val OK = 200
private const val MAX_ANSWER_BYTES = 65_536
private const val HIGHEST_NANOS = 10_000_000_000L
private const val DIGITS = 3
private const val NANOS_PER_MICRO = 1_000.0

/** Keep-alive connections to one port, with the times of the answers to their requests. */
internal class LoadPath(
    private val group: EventLoopGroup,
    private val port: Int,
    private val connections: Int
) {
    private val idle = ArrayBlockingQueue<Channel>(connections)
    private val failed = AtomicInteger()

    /** Times in nanoseconds. */
    val times = ConcurrentHistogram(HIGHEST_NANOS, DIGITS)
    val errors: Int get() = failed.get()

    /** Opens all connections. */
    fun open() = repeat(connections) {
        val bootstrap = Bootstrap().group(group).channel(NioSocketChannel::class.java)
            .handler(object : ChannelInitializer<Channel>() {
                override fun initChannel(channel: Channel) {
                    channel.pipeline().addLast(
                        HttpClientCodec(),
                        HttpObjectAggregator(MAX_ANSWER_BYTES),
                        AnswerHandler()
                    )
                }
            })
        idle.put(bootstrap.connect("127.0.0.1", port).sync().channel())
    }

    /** Sends a request whose time counts from [dueNanos]; waits while all connections are busy. */
    fun send(index: Int, dueNanos: Long) {
        val request =
            DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/results/$index")
        request.headers()
            .set(HttpHeaderNames.HOST, "127.0.0.1")
            .set(HttpHeaderNames.AUTHORIZATION, AUTHORIZATION)
        val channel = idle.take()
        channel.eventLoop().execute {
            channel.pipeline().get(AnswerHandler::class.java).dueNanos = dueNanos
            channel.writeAndFlush(request)
        }
    }

    /** Waits until every request was answered. */
    fun awaitIdle() {
        val all = (1..connections).map { idle.take() }
        all.forEach(idle::put)
    }

    /** Forgets what was measured. */
    fun reset() {
        times.reset()
        failed.set(0)
    }

    fun micros(percentile: Double): Double =
        times.getValueAtPercentile(percentile) / NANOS_PER_MICRO

    private inner class AnswerHandler : SimpleChannelInboundHandler<FullHttpResponse>() {
        var dueNanos = 0L

        override fun channelRead0(context: ChannelHandlerContext, answer: FullHttpResponse) {
            times.recordValue(minOf(System.nanoTime() - dueNanos, HIGHEST_NANOS))
            if (answer.status().code() != OK) failed.incrementAndGet()
            idle.put(context.channel())
        }
    }
}
