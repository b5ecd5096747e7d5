package org.wisteriahinge.adapters.caller

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.RecvByteBufAllocator
import io.netty.channel.group.DefaultChannelGroup
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpServerCodec
import java.io.Closeable
import java.time.Clock
import java.time.Duration
import org.wisteriahinge.adapters.WireDialect
import org.wisteriahinge.adapters.backend.BackendClient
import org.wisteriahinge.adapters.clients.ClientRegistry
import org.wisteriahinge.adapters.clients.ReadGate
import org.wisteriahinge.core.call.CallCounter
import org.wisteriahinge.core.clients.ClientAddress
import org.wisteriahinge.core.clients.ClientLimits
import org.wisteriahinge.core.model.RequestLimits
import org.wisteriahinge.runtime.EffectSink

/**
 * Address and limits of the caller server.
 *
 * A request without a timeout gets [defaultTimeout]; no request gets more than [maxTimeout].
 * [answerStallTimeout] is the longest time for which a streamed answer may make no progress.
 * [source] says who sends the requests.
 */
public data class CallerServerSettings(
    val host: String,
    val port: Int,
    val defaultTimeout: Duration,
    val maxTimeout: Duration,
    val body: BodyLimits = BodyLimits(),
    val bounds: RequestLimits = RequestLimits(),
    val answerStallTimeout: Duration = Duration.ofSeconds(30),
    val dialect: WireDialect = WireDialect.Default,
    val source: CallSource = CallSource.Callers
)

/**
 * The components that the caller server uses.
 *
 * Callers are served on the I/O thread of [backend]; calls that are handed over to other instances
 * are sent by [peers], on the same thread. The server accepts on [socket], or opens one
 * on the configured address if it is null.
 */
public class CallerServerDependencies(
    public val gateway: CallGateway,
    public val backend: BackendClient,
    public val hasher: CredentialHasher,
    public val clock: Clock,
    public val counters: EffectSink<CallCounter>,
    public val observer: CallObserver = CallObserver.None,
    public val answerListener: AnswerListener? = null,
    public val socket: ListeningSocket? = null,
    public val peers: BackendClient = backend,
    public val clients: ClientRegistry = ClientRegistry(ClientLimits(), clock, counters)
)

/** Most bytes read from one connection before the others have their turn. */
private const val MAX_BYTES_PER_TURN = 32 * 1_024
private const val MIN_READ_BYTES = 64
private const val FIRST_READ_BYTES = 2_048

private val CallSource.address: ClientAddress
    get() = when (this) {
        CallSource.Callers -> ClientAddress.Callers
        is CallSource.Instances -> ClientAddress.Handover
    }

/** Accepts HTTP/1.1 requests of callers and submits them to the `calls` duty. */
public class CallerServer(
    private val settings: CallerServerSettings,
    private val dependencies: CallerServerDependencies
) : Closeable {
    @Volatile
    private var bounds = settings.bounds
    private val services = CallerServices(settings, dependencies) { bounds }
    private val connections = DefaultChannelGroup(services.loop.executor)
    private var server: Channel? = null

    /** Replaces the limits for callers; limits on the head's size apply to new connections only. */
    public fun limit(bounds: RequestLimits) {
        this.bounds = bounds
    }

    /** Closes idle connections now, and each other one after its current answer. */
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
            .childOption(ChannelOption.RECVBUF_ALLOCATOR, readSizes())
            .childHandler(Initializer())
            .register()
            .syncUninterruptibly()
            .channel()
        return socket.port
    }

    private fun readSizes(): RecvByteBufAllocator =
        AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_BYTES_PER_TURN)
            .maxMessagesPerRead(1)

    private inner class Initializer : ChannelInitializer<Channel>() {
        override fun initChannel(channel: Channel) {
            val client = services.clients.admit(channel, settings.source.address) ?: return
            connections.add(channel)
            val gate = ReadGate(client)
            val headTimeout = HeadTimeoutHandler(::bounds)
            val foldedHeaders = FoldedHeaderHandler()
            val newCallId = { services.gateway.nextCallId().toString() }
            channel.pipeline().addLast(
                gate,
                headTimeout,
                foldedHeaders,
                codec(),
                FramingHandler(headTimeout, foldedHeaders, newCallId, services::countRefused),
                CallerConnection(services, client, gate)
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
