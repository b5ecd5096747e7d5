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

/** What the connection waits for. */
private sealed interface Reading {
    /** No request is outstanding. */
    data object Idle : Reading

    /** The head of the answer to [exchange]. */
    data class Head(val exchange: TargetExchange) : Reading

    /** The end of an answer that is not the awaited one, after which the head follows. */
    data class Skipped(val exchange: TargetExchange) : Reading

    /** The body of the answer. */
    data class Body(
        val exchange: TargetExchange,
        val receiver: AnswerReceiver,
        val reusable: Boolean
    ) : Reading
}

/**
 * Reads the answers on one connection, one at a time. Called on the connection's event loop.
 *
 * [onEnd] returns the connection to its pool; a connection that is not reusable is closed first.
 * [onDead] takes a request back that was sent on a kept connection which the target had forgotten.
 */
internal class TargetConnectionHandler(
    private val onEnd: (Channel) -> Unit,
    private val onDead: (TargetExchange) -> Unit
) : ChannelInboundHandlerAdapter() {
    private var reading: Reading = Reading.Idle
    private var requestWritten = false
    private var usedNanos = System.nanoTime()

    /** Whether the connection has brought an answer before. */
    var isKept = false
        private set

    /** The body that is being sent; null when it was in memory as a whole. */
    var feed: BodyFeed? = null

    /** For how long the target keeps an idle connection, by its last answer; null when unsaid. */
    var keepAlive: Duration? = null
        private set

    /** Time since the connection was opened or its last answer ended. */
    fun idleTime(): Duration = Duration.ofNanos(System.nanoTime() - usedNanos)

    /** The next answer belongs to [exchange]. */
    fun begin(exchange: TargetExchange) {
        requestWritten = false
        feed = null
        reading = Reading.Head(exchange)
    }

    /** The whole request was written; only then may the connection be used again. */
    fun requestWritten() {
        requestWritten = true
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        try {
            if (message is HttpResponse) head(context, message)
            if (message is HttpContent) content(context, message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun head(context: ChannelHandlerContext, response: HttpResponse) {
        when (val current = reading) {
            is Reading.Head -> answerHead(context, response, current.exchange)
            Reading.Idle, is Reading.Skipped, is Reading.Body -> context.close()
        }
    }

    private fun answerHead(
        context: ChannelHandlerContext,
        response: HttpResponse,
        exchange: TargetExchange
    ) {
        if (response.decoderResult().isFailure) {
            return invalid(context, exchange, "the head is not valid HTTP")
        }
        if (response.isInterim() || response.isForeign(exchange)) {
            reading = Reading.Skipped(exchange)
            return
        }
        val receiver = AnswerReceiver.of(context.channel(), exchange, response)
        keepAlive = response.keepAliveTimeout()
        reading = Reading.Body(exchange, receiver, HttpUtil.isKeepAlive(response))
        receiver.start()
    }

    private fun HttpResponse.isInterim(): Boolean = status().code() < FIRST_FINAL_STATUS

    /** A second answer to an earlier request may arrive where the next answer is expected. */
    private fun HttpResponse.isForeign(exchange: TargetExchange): Boolean {
        val echo = exchange.request.echo ?: return false
        val repeated = headers().get(echo.name) ?: return false
        return repeated != echo.value
    }

    private fun HttpResponse.keepAliveTimeout(): Duration? = headers().get("Keep-Alive")
        ?.split(',')
        ?.map { it.trim() }
        ?.firstOrNull { it.startsWith(TIMEOUT_PARAMETER, ignoreCase = true) }
        ?.drop(TIMEOUT_PARAMETER.length)
        ?.toLongOrNull()
        ?.let(Duration::ofSeconds)

    private fun content(context: ChannelHandlerContext, content: HttpContent) {
        when (val current = reading) {
            is Reading.Skipped ->
                if (content is LastHttpContent) reading = Reading.Head(current.exchange)
            is Reading.Body -> body(context, content, current)
            Reading.Idle, is Reading.Head -> Unit
        }
    }

    private fun body(context: ChannelHandlerContext, content: HttpContent, body: Reading.Body) {
        if (content.decoderResult().isFailure) return broken(context, "malformed chunk")
        body.receiver.accept(content.content())
        if (content is LastHttpContent) {
            end(context, body)
            body.receiver.complete()
        }
    }

    private fun end(context: ChannelHandlerContext, body: Reading.Body) {
        reading = Reading.Idle
        isKept = true
        usedNanos = System.nanoTime()
        body.exchange.detach()
        context.channel().config().isAutoRead = true
        if (!body.reusable || !requestWritten) context.close()
        onEnd(context.channel())
    }

    private fun invalid(context: ChannelHandlerContext, exchange: TargetExchange, detail: String) {
        exchange.failed(AttemptFailure.InvalidAnswer, detail)
        context.close()
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        if (context.channel().isWritable) feed?.demand(true)
        context.fireChannelWritabilityChanged()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        broken(context, "the target closed the connection")
        context.fireChannelInactive()
    }

    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        val current = reading
        if (cause is DecoderException && current is Reading.Head) {
            current.exchange.failed(AttemptFailure.InvalidAnswer, cause.javaClass.simpleName)
        }
        broken(context, cause.javaClass.simpleName)
    }

    private fun unanswered(exchange: TargetExchange, detail: String) {
        if (isKept && exchange.request.isResendable) {
            onDead(exchange)
        } else {
            exchange.failed(AttemptFailure.Disconnected, detail)
        }
    }

    private fun broken(context: ChannelHandlerContext, detail: String) {
        val current = reading
        reading = Reading.Idle
        context.close()
        when (current) {
            Reading.Idle -> return
            is Reading.Head -> unanswered(current.exchange, detail)
            is Reading.Skipped -> current.exchange.failed(AttemptFailure.Disconnected, detail)
            is Reading.Body -> current.receiver.truncated(detail)
        }
        onEnd(context.channel())
    }
}
