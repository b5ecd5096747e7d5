package org.wisteriahinge.adapters.caller

import com.github.michaelbull.result.mapBoth
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import java.net.InetSocketAddress
import java.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.wisteriahinge.adapters.backend.RequestBody
import org.wisteriahinge.adapters.clients.ClientEvicted
import org.wisteriahinge.adapters.clients.ReadGate
import org.wisteriahinge.adapters.clients.TrackedClient
import org.wisteriahinge.core.call.CallRequest
import org.wisteriahinge.core.clients.ClientActivity
import org.wisteriahinge.core.model.Execution
import org.wisteriahinge.core.model.Refusal
import org.wisteriahinge.core.model.RefusalReason

private val REFUSED_CALL_RETRY_AFTER: Duration = Duration.ofMillis(250)

/** What a queued part of a request that was sent ahead takes in memory. */
private const val PENDING_PART_BYTES = 512L

/** Serves the requests on one caller's connection in order, one at a time. */
internal class CallerConnection(
    private val services: CallerServices,
    private val client: TrackedClient,
    private val gate: ReadGate
) : ChannelInboundHandlerAdapter() {
    private var current: ServedRequest? = null
    private var pendingParts: PersistentList<HttpObject> = persistentListOf()

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        when {
            message !is HttpObject -> ReferenceCountUtil.release(message)
            current?.isReceived == true -> enqueue(message)
            else -> process(context, message)
        }
    }

    override fun channelReadComplete(context: ChannelHandlerContext) {
        current?.partReceived()
        context.fireChannelReadComplete()
    }

    /** Queues a part of a request that was sent ahead until the current one was answered. */
    private fun enqueue(message: HttpObject) {
        pendingParts = pendingParts.add(message)
        client.holdReceived(PENDING_PART_BYTES)
    }

    private fun process(context: ChannelHandlerContext, message: HttpObject) {
        try {
            if (message is HttpRequest) {
                current = ServedRequest(context, message).also { it.start() }
            }
            if (message is HttpContent) current?.receive(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun requestEnded(context: ChannelHandlerContext, request: ServedRequest) {
        if (current != request) return
        current = null
        client.requestEnded()
        while (pendingParts.isNotEmpty() && current?.isReceived != true) {
            val next = pendingParts.first()
            pendingParts = pendingParts.removeAt(0)
            client.release(PENDING_PART_BYTES)
            process(context, next)
        }
        gate.resume(context.pipeline().context(gate) ?: return)
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        if (context.channel().isWritable) current?.callerWritable()
        context.fireChannelWritabilityChanged()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        current?.callerGone()
        pendingParts.forEach { ReferenceCountUtil.release(it) }
        pendingParts = persistentListOf()
        context.fireChannelInactive()
    }

    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        if (event == ClientEvicted) current?.evicted()
    }

    // Not logged: a caller may reset its connection at any time.
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        context.close()
    }

    private fun ChannelHandlerContext.callerAddress(): String? =
        (channel().remoteAddress() as? InetSocketAddress)?.address?.hostAddress

    /** One request, from its head to the end of its answer. */
    private inner class ServedRequest(
        private val context: ChannelHandlerContext,
        private val request: HttpRequest
    ) : BodyListener {
        private val startedNanos = System.nanoTime()
        private val callId = services.gateway.nextCallId()
        private val keepAlive = HttpUtil.isKeepAlive(request)
        private val writer = AnswerWriter(context.channel(), client, services, ::closesConnection)
        private var receivedHead: ReceivedHead? = null
        private var call: CallRequest? = null
        private var body: BodyReceiver? = null
        private var exchange: CallExchange? = null
        private var isAnswered = false

        /** Whether the whole request was received. */
        var isReceived = false
            private set

        // If the body was not read to its end, the rest of it would be parsed as the next request.
        private fun closesConnection(): Boolean = !keepAlive || services.gateway.isLeaving ||
            (!isReceived && receivedHead?.head?.hasBody != false)

        fun start() {
            services.receiveHead(callId, request, context.callerAddress()).mapBoth(
                success = { head ->
                    receivedHead = head
                    client.isReceivingBody = head.head.hasBody
                    if (HttpUtil.is100ContinueExpected(request)) writeContinue()
                    body = BodyReceiver(context.channel(), client, services, head.head, this)
                    body?.start()
                },
                failure = { refuse(it) }
            )
        }

        private fun writeContinue() {
            context.writeAndFlush(
                DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.CONTINUE,
                    Unpooled.EMPTY_BUFFER
                )
            )
        }

        fun receive(content: HttpContent) {
            val receiver = body
            if (!isAnswered) receiver?.receive(content.content())
            if (content !is LastHttpContent) return
            isReceived = true
            client.isReceivingBody = false
            client.isBusy = true
            if (!isAnswered) receiver?.end()
            if (isAnswered) requestEnded(context, this)
        }

        override fun bodyReady(body: RequestBody) {
            val forwarded = receivedHead?.withBody(body) ?: return
            call = forwarded.request
            client.activity = ClientActivity.Serving
            val started = CallExchange(forwarded, services, writer, ::exchangeEnded)
            exchange = started
            when (started.start()) {
                ArrivalResult.Accepted -> Unit
                ArrivalResult.Full -> refuse(
                    RefusalReason.InstanceOverloaded,
                    REFUSED_CALL_RETRY_AFTER
                )
                ArrivalResult.Draining -> refuse(RefusalReason.Draining, REFUSED_CALL_RETRY_AFTER)
            }
        }

        override fun bodyRejected(reason: RefusalReason) {
            val running = exchange
            val retryAfter = when (reason) {
                RefusalReason.InstanceOverloaded -> REFUSED_CALL_RETRY_AFTER
                else -> null
            }
            if (running == null) refuse(reason, retryAfter) else running.bodyRejected(reason)
        }

        private fun refuse(reason: RefusalReason, retryAfter: Duration? = null) {
            services.countRefused(reason)
            exchange = null
            writer.refuse(Refusal(reason, Execution.NotRun, retryAfter), callId) { }
            requestAnswered()
        }

        private fun exchangeEnded(end: ExchangeEnd) {
            services.gateway.releaseCall()
            val targetTime = (end as? ExchangeEnd.Delivered)?.targetTime
            val elapsed = Duration.ofNanos(System.nanoTime() - startedNanos)
            call?.let {
                services.observer.ended(EndedCall(it, end.outcomeName(), elapsed, targetTime))
            }
            requestAnswered()
        }

        private fun requestAnswered() {
            isAnswered = true
            body?.cancel()
            exchange = null
            if (isReceived) requestEnded(context, this)
        }

        /** Called when all received bytes were passed on. */
        fun partReceived() {
            body?.passOn()
        }

        /** Refuses the request if it was not submitted yet; the connection is closed next. */
        fun evicted() {
            if (!isAnswered && exchange == null) refuse(RefusalReason.SlowSender)
        }

        fun callerWritable() {
            exchange?.callerWritable()
        }

        fun callerGone() {
            exchange?.callerGone()
            body?.cancel()
        }
    }
}
