package org.wisteriahinge.adapters.caller

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.group.DefaultChannelGroup
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpServerCodec
import java.io.Closeable
import java.time.Clock
import java.time.Duration
import org.wisteriahinge.adapters.WireDialect
import org.wisteriahinge.adapters.backend.BackendClient
import org.wisteriahinge.core.call.CallCounter
import org.wisteriahinge.core.model.CallerBounds
import org.wisteriahinge.runtime.EffectSink

/** Where the caller server listens and the bounds that it sets on callers. */
public data class CallerServerSettings(
    val host: String,
    val port: Int,
    val defaultTimeout: Duration,
    val maxTimeout: Duration,
    val body: BodyLimits = BodyLimits(),
    val bounds: CallerBounds = CallerBounds(),
    val answerStallTimeout: Duration = Duration.ofSeconds(30),
    val dialect: WireDialect = WireDialect.Own
)

/**
 * What the caller server works with. It serves callers on the I/O thread of [backend], on [socket]
 * or else on one that it opens.
 */
public class CallerServerDependencies(
    public val gateway: CallGateway,
    public val backend: BackendClient,
    public val hasher: CredentialHasher,
    public val clock: Clock,
    public val counters: EffectSink<CallCounter>,
    public val observer: CallObserver = CallObserver.None,
    public val answerListener: AnswerListener? = null,
    public val socket: ListeningSocket? = null
)

/** Accepts callers' HTTP/1.1 requests and hands them to the `calls` duty. */
public class CallerServer(
    private val settings: CallerServerSettings,
    private val dependencies: CallerServerDependencies
) : Closeable {
    @Volatile
    private var bounds = settings.bounds
    private val services = CallerServices(settings, dependencies) { bounds }
    private val connections = DefaultChannelGroup(services.loop.executor)
    private var server: Channel? = null

    /** Sets the bounds on callers; those on the size of a head hold for new connections. */
    public fun limit(bounds: CallerBounds) {
        this.bounds = bounds
    }

    /** Closes the connections on which no request is in progress, now and after each answer. */
    public fun closeIdle() {
        connections.forEach { it.pipeline().fireUserEventTriggered(CloseIdle) }
    }

    /**
     * Starts listening and returns the port in use.
     *
     * @throws java.net.BindException if the address is in use.
     */
    public fun start(): Int {
        val socket = dependencies.socket ?: ListeningSocket.open(settings.host, settings.port)
        server = ServerBootstrap()
            .group(services.loop.group)
            .channelFactory { NioServerSocketChannel(socket.channel) }
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(Initializer())
            .register()
            .syncUninterruptibly()
            .channel()
        return socket.port
    }

    private inner class Initializer : ChannelInitializer<Channel>() {
        override fun initChannel(channel: Channel) {
            connections.add(channel)
            val headTimeout = HeadTimeoutHandler(::bounds)
            val foldedHeaders = FoldedHeaderHandler()
            val newCallId = { services.gateway.nextCallId().toString() }
            channel.pipeline().addLast(
                headTimeout,
                foldedHeaders,
                codec(),
                FramingHandler(headTimeout, foldedHeaders, newCallId, services::countRefused),
                CallerConnection(services)
            )
        }

        private fun codec() = HttpServerCodec(
            HttpDecoderConfig()
                .setMaxInitialLineLength(bounds.maxHeadBytes)
                .setMaxHeaderSize(bounds.maxHeadBytes)
                .setStrictLineParsing(true)
                .setHeadersFactory(StrictHeadersFactory)
        )
    }

    override fun close() {
        server?.close()?.syncUninterruptibly()
        dependencies.socket?.close()
        connections.close()
    }
}
