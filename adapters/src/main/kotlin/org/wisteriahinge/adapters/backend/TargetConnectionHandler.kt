package org.wisteriahinge.adapters.backend

import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.DecoderException
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import java.time.Duration
import org.wisteriahinge.core.call.AttemptFailure

private const val FIRST_FINAL_STATUS = 200
private const val TIMEOUT_PARAMETER = "timeout="

/** The part of an answer that is read next on the connection. */
private sealed interface ReadState {
    /** No request is outstanding. */
    data object Idle : ReadState

    /** The head of the answer to [exchange]. */
    data class Head(val exchange: TargetExchange) : ReadState

    /** The rest of an interim answer or an answer to an earlier request; the head follows it. */
    data class Skipping(val exchange: TargetExchange) : ReadState

    /** The body of the answer. */
    data class Body(
        val exchange: TargetExchange,
        val receiver: AnswerReceiver,
        val reusable: Boolean
    ) : ReadState
}

/**
 * Reads the answers on one connection, one at a time. Called on the connection's event loop.
 *
 * [releaseToPool] returns the connection to its pool, after closing it if it is not reusable.
 * [resend] sends a request again whose reused connection was closed before an answer came.
 */
internal class TargetConnectionHandler(
    private val releaseToPool: (Channel) -> Unit,
    private val resend: (TargetExchange) -> Unit
) : ChannelInboundHandlerAdapter() {
    private var state: ReadState = ReadState.Idle
    private var requestWritten = false
    private var idleSinceNanos = System.nanoTime()

    /** Whether an answer was read completely on this connection before. */
    var isReused = false
        private set

    /** The streamed request body that is being sent; null for other requests. */
    var stream: BodyStream? = null

    /** The `Keep-Alive` timeout in the target's last answer; null if it had none. */
    var keepAlive: Duration? = null
        private set

    /** Time since the connection was opened or its last answer ended. */
    fun idleTime(): Duration = Duration.ofNanos(System.nanoTime() - idleSinceNanos)

    /** Expects the answer to the request of [exchange] next. */
    fun begin(exchange: TargetExchange) {
        requestWritten = false
        stream = null
        state = ReadState.Head(exchange)
    }

    /** Records that the whole request was written, without which a connection is not reused. */
    fun markRequestWritten() {
        requestWritten = true
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        try {
            if (message is HttpResponse) receiveHead(context, message)
            if (message is HttpContent) receiveContent(context, message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun receiveHead(context: ChannelHandlerContext, response: HttpResponse) {
        when (val current = state) {
            is ReadState.Head -> acceptHead(context, response, current.exchange)
            ReadState.Idle, is ReadState.Skipping, is ReadState.Body -> context.close()
        }
    }

    private fun acceptHead(
        context: ChannelHandlerContext,
        response: HttpResponse,
        exchange: TargetExchange
    ) {
        if (response.decoderResult().isFailure) {
            return failInvalid(context, exchange, "the head of the answer is not valid HTTP")
        }
        if (response.isInterim() || response.isForOtherRequest(exchange)) {
            state = ReadState.Skipping(exchange)
            return
        }
        val receiver = AnswerReceiver.of(context.channel(), exchange, response)
        keepAlive = response.keepAliveTimeout()
        state = ReadState.Body(exchange, receiver, HttpUtil.isKeepAlive(response))
        receiver.start()
    }

    private fun HttpResponse.isInterim(): Boolean = status().code() < FIRST_FINAL_STATUS

    /** A target may send a second answer to an earlier request on the connection. */
    private fun HttpResponse.isForOtherRequest(exchange: TargetExchange): Boolean {
        val expectedEcho = exchange.request.expectedEcho ?: return false
        val repeated = headers().get(expectedEcho.name) ?: return false
        return repeated != expectedEcho.value
    }

    private fun HttpResponse.keepAliveTimeout(): Duration? = headers().get("Keep-Alive")
        ?.split(',')
        ?.map { it.trim() }
        ?.firstOrNull { it.startsWith(TIMEOUT_PARAMETER, ignoreCase = true) }
        ?.drop(TIMEOUT_PARAMETER.length)
        ?.toLongOrNull()
        ?.let(Duration::ofSeconds)

    private fun receiveContent(context: ChannelHandlerContext, content: HttpContent) {
        when (val current = state) {
            is ReadState.Skipping ->
                if (content is LastHttpContent) state = ReadState.Head(current.exchange)
            is ReadState.Body -> receiveBody(context, content, current)
            ReadState.Idle, is ReadState.Head -> Unit
        }
    }

    private fun receiveBody(
        context: ChannelHandlerContext,
        content: HttpContent,
        body: ReadState.Body
    ) {
        if (content.decoderResult().isFailure) return closeBroken(context, "malformed chunk")
        body.receiver.accept(content.content())
        if (content is LastHttpContent) {
            end(context, body)
            body.receiver.complete()
        }
    }

    private fun end(context: ChannelHandlerContext, body: ReadState.Body) {
        state = ReadState.Idle
        isReused = true
        idleSinceNanos = System.nanoTime()
        body.exchange.detach()
        context.channel().config().isAutoRead = true
        if (!body.reusable || !requestWritten) context.close()
        releaseToPool(context.channel())
    }

    private fun failInvalid(
        context: ChannelHandlerContext,
        exchange: TargetExchange,
        detail: String
    ) {
        exchange.failed(AttemptFailure.InvalidAnswer, detail)
        context.close()
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        if (context.channel().isWritable) stream?.setReading(true)
        context.fireChannelWritabilityChanged()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        closeBroken(context, "the target closed the connection")
        context.fireChannelInactive()
    }

    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        val current = state
        if (cause is DecoderException && current is ReadState.Head) {
            current.exchange.failed(AttemptFailure.InvalidAnswer, cause.javaClass.simpleName)
        }
        closeBroken(context, cause.javaClass.simpleName)
    }

    private fun failUnanswered(exchange: TargetExchange, detail: String) {
        if (isReused && exchange.request.retryOnStaleConnection) {
            resend(exchange)
        } else {
            exchange.failed(AttemptFailure.Disconnected, detail)
        }
    }

    private fun closeBroken(context: ChannelHandlerContext, detail: String) {
        val current = state
        state = ReadState.Idle
        context.close()
        when (current) {
            ReadState.Idle -> return
            is ReadState.Head -> failUnanswered(current.exchange, detail)
            is ReadState.Skipping -> current.exchange.failed(AttemptFailure.Disconnected, detail)
            is ReadState.Body -> current.receiver.truncated(detail)
        }
        releaseToPool(context.channel())
    }
}
