package org.wisteriahinge.adapters.caller

import com.github.michaelbull.result.getOrElse
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.ApplicationCallPipeline
import io.ktor.server.application.call
import io.ktor.server.application.install
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import io.ktor.server.http.HttpRequestLifecycle
import io.ktor.server.netty.Netty
import io.netty.channel.ChannelPipeline
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpServerCodec
import java.io.Closeable
import java.time.Clock
import java.time.Duration
import kotlinx.coroutines.runBlocking
import org.wisteriahinge.adapters.backend.BackendClient
import org.wisteriahinge.core.call.CallCounter
import org.wisteriahinge.core.call.CallEvent
import org.wisteriahinge.core.model.Execution
import org.wisteriahinge.core.model.Refusal
import org.wisteriahinge.core.model.RefusalReason
import org.wisteriahinge.runtime.EffectSink
import org.wisteriahinge.runtime.Offer

private val RETRY_AFTER_OVERLOAD: Duration = Duration.ofSeconds(1)

/** Where the caller server listens and the bounds that it sets on callers. */
public data class CallerServerSettings(
    val host: String,
    val port: Int,
    val defaultTimeout: Duration,
    val maxTimeout: Duration,
    val body: BodyLimits = BodyLimits(),
    val maxHeadBytes: Int = 16 * 1_024,
    val headTimeout: Duration = Duration.ofSeconds(10),
    val idleTimeout: Duration = Duration.ofSeconds(75),
    val answerStall: Duration = Duration.ofSeconds(30)
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
        parts.answerListener
    )
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
            .setMaxInitialLineLength(settings.maxHeadBytes)
            .setMaxHeaderSize(settings.maxHeadBytes)
            .setStrictLineParsing(true)
            .setHeadersFactory(StrictHeadersFactory)
    )

    private fun ChannelPipeline.addFraming() {
        val pace = HeadTimeoutHandler(settings.headTimeout, settings.idleTimeout)
        val framing = FramingHandler(pace, { gateway.nextCallId().toString() }, ::countRefused)
        addFirst(pace)
        addAfter(context(HttpServerCodec::class.java).name(), "framing", framing)
    }

    private fun countRefused(reason: RefusalReason) {
        parts.counters.perform(CallCounter.Refused(reason))
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
        val refuser = Refuser(call, callId)
        val read = reader.read(call, callId).getOrElse { reason ->
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
            Offer.Full -> {
                countRefused(RefusalReason.InstanceOverloaded)
                refuser.refuse(overloaded())
            }
            Offer.Accepted -> try {
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

    private fun overloaded() =
        Refusal(RefusalReason.InstanceOverloaded, Execution.NotRun, RETRY_AFTER_OVERLOAD)

    override fun close() {
        server.stop(gracePeriodMillis = 0, timeoutMillis = 1_000)
    }
}
