package org.wisteriahinge.adapters.caller

import com.github.michaelbull.result.getOrElse
import io.ktor.http.HttpHeaders
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.ApplicationCallPipeline
import io.ktor.server.application.call
import io.ktor.server.application.install
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import io.ktor.server.http.HttpRequestLifecycle
import io.ktor.server.netty.Netty
import io.ktor.server.response.header
import io.netty.channel.ChannelPipeline
import io.netty.channel.group.DefaultChannelGroup
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.util.concurrent.GlobalEventExecutor
import java.io.Closeable
import java.time.Clock
import java.time.Duration
import kotlinx.coroutines.runBlocking
import org.wisteriahinge.adapters.WireDialect
import org.wisteriahinge.adapters.backend.BackendClient
import org.wisteriahinge.core.call.CallCounter
import org.wisteriahinge.core.call.CallEvent
import org.wisteriahinge.core.model.CallerBounds
import org.wisteriahinge.core.model.Execution
import org.wisteriahinge.core.model.Refusal
import org.wisteriahinge.core.model.RefusalReason
import org.wisteriahinge.runtime.EffectSink

private val RETRY_AFTER_NOT_TAKEN: Duration = Duration.ofMillis(250)

/** Where the caller server listens and the bounds that it sets on callers. */
public data class CallerServerSettings(
    val host: String,
    val port: Int,
    val defaultTimeout: Duration,
    val maxTimeout: Duration,
    val body: BodyLimits = BodyLimits(),
    val bounds: CallerBounds = CallerBounds(),
    val answerStall: Duration = Duration.ofSeconds(30),
    val dialect: WireDialect = WireDialect.Own
)

/** What the caller server works with. */
public class CallerServerParts(
    public val gateway: CallGateway,
    public val backend: BackendClient,
    public val hasher: CredentialHasher,
    public val clock: Clock,
    public val counters: EffectSink<CallCounter>,
    public val observer: CallObserver = CallObserver.None,
    public val answerListener: AnswerListener? = null
)

/** Accepts callers' HTTP/1.1 requests and hands them to the `calls` duty. */
public class CallerServer(
    private val settings: CallerServerSettings,
    private val parts: CallerServerParts
) : Closeable {
    private val gateway = parts.gateway
    private val reader = CallReader(settings, parts)
    private val services = ExchangeServices(
        gateway,
        parts.backend,
        parts.clock,
        settings.answerStall,
        parts.answerListener,
        settings.dialect
    )
    private val connections = DefaultChannelGroup(GlobalEventExecutor.INSTANCE)

    @Volatile
    private var bounds = settings.bounds

    private val server = embeddedServer(
        Netty,
        configure = {
            connector {
                host = settings.host
                port = settings.port
            }
            enableHttp2 = false
            httpServerCodec = ::codec
            channelPipelineConfig = { addFraming() }
        }
    ) {
        install(HttpRequestLifecycle) { cancelCallOnClose = true }
        // No routing: it decodes the query, which is to be passed on as it is.
        intercept(ApplicationCallPipeline.Call) { serve(call) }
    }

    private fun codec() = HttpServerCodec(
        HttpDecoderConfig()
            .setMaxInitialLineLength(bounds.maxHeadBytes)
            .setMaxHeaderSize(bounds.maxHeadBytes)
            .setStrictLineParsing(true)
            .setHeadersFactory(StrictHeadersFactory)
    )

    private fun ChannelPipeline.addFraming() {
        connections.add(channel())
        val pace = HeadTimeoutHandler(::bounds)
        val framing = FramingHandler(pace, { gateway.nextCallId().toString() }, ::countRefused)
        addFirst(pace)
        addAfter(context(HttpServerCodec::class.java).name(), "framing", framing)
    }

    private fun countRefused(reason: RefusalReason) {
        parts.counters.perform(CallCounter.Refused(reason))
    }

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
        server.start(wait = false)
        return runBlocking { server.engine.resolvedConnectors().first().port }
    }

    private suspend fun serve(call: ApplicationCall) {
        val callId = gateway.nextCallId()
        val refuser = Refuser(call, callId, settings.dialect.fractionalRetryAfter)
        if (gateway.isLeaving) call.response.header(HttpHeaders.Connection, "close")
        val read = reader.read(call, callId, bounds).getOrElse { reason ->
            countRefused(reason)
            return refuser.refuse(Refusal(reason, Execution.NotRun))
        }
        try {
            serve(refuser, call, read)
        } finally {
            read.release()
        }
    }

    private suspend fun serve(refuser: Refuser, call: ApplicationCall, read: ReadCall) {
        val request = read.forwarded.request
        val exchange = CallExchange(call, read.forwarded, services)
        when (gateway.arrive(CallEvent.Arrived(request), exchange::accept)) {
            Entry.Full -> refuser.refuse(notTaken(RefusalReason.InstanceOverloaded))
            Entry.Draining -> refuser.refuse(notTaken(RefusalReason.Draining))
            Entry.Accepted -> try {
                end(exchange.run(), refuser, read)
            } finally {
                gateway.leave()
            }
        }
    }

    private suspend fun end(end: ExchangeEnd, refuser: Refuser, read: ReadCall) {
        when (end) {
            is ExchangeEnd.Refused -> refuser.refuse(end.refusal)
            is ExchangeEnd.Delivered, ExchangeEnd.Retained -> Unit
            ExchangeEnd.Broken -> refuser.abort()
        }
        val targetTime = (end as? ExchangeEnd.Delivered)?.targetTime
        parts.observer.ended(
            EndedCall(read.forwarded.request, end.describe(), read.elapsed(), targetTime)
        )
    }

    private fun notTaken(reason: RefusalReason): Refusal {
        countRefused(reason)
        return Refusal(reason, Execution.NotRun, RETRY_AFTER_NOT_TAKEN)
    }

    override fun close() {
        server.stop(gracePeriodMillis = 0, timeoutMillis = 1_000)
    }
}
