package org.wisteriahinge.adapters.backend

import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.DecoderException
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import java.time.Duration
import org.wisteriahinge.core.call.AttemptFailure

private const val FIRST_FINAL_STATUS = 200
private const val TIMEOUT_PARAMETER = "timeout="
private const val PROTOCOL = "HTTP/1."
private val STATUS_LINE = Regex("""HTTP/1\.[01] \d{3}\b""")

/** Most interim answers and answers to earlier requests that are read before the answer. */
private const val MAX_SKIPPED_ANSWERS = 16

/** Most bytes of such answers; a server that sends more may never stop. */
private const val MAX_SKIPPED_BYTES = 1_048_576L

/** What was read since the request was sent and does not belong to its answer. */
private data class Skipped(val answers: Int = 0, val bytes: Long = 0) {
    val isTooMuch: Boolean get() = answers > MAX_SKIPPED_ANSWERS || bytes > MAX_SKIPPED_BYTES
}

/** The part of an answer that is read next on the connection. */
private sealed interface ReadState {
    /** No request is outstanding. */
    data object Idle : ReadState

    /** The head of the answer to [exchange], after what was [skipped]. */
    data class Head(val exchange: TargetExchange, val skipped: Skipped = Skipped()) : ReadState

    /** The rest of an interim answer or an answer to an earlier request; the head follows it. */
    data class Skipping(val exchange: TargetExchange, val skipped: Skipped) : ReadState

    /** The body of the answer. With [endsWithConnection] nothing else marks its end. */
    data class Body(
        val exchange: TargetExchange,
        val receiver: AnswerReceiver,
        val reusable: Boolean,
        val endsWithConnection: Boolean
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
    private var isInputEnded = false
    private var idleSinceNanos = System.nanoTime()

    /** Whether an answer was read completely on this connection before. */
    var isReused = false
        private set

    /** Whether no request is outstanding. */
    val isIdle: Boolean get() = state == ReadState.Idle

    /** Whether the outstanding request is a `HEAD`, whose answer has no body. */
    val isAnsweringHead: Boolean
        get() = when (val current = state) {
            ReadState.Idle -> false
            is ReadState.Head -> current.exchange.isHead
            is ReadState.Skipping -> current.exchange.isHead
            is ReadState.Body -> current.exchange.isHead
        }

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

    /** Records that the target ended its side of the connection in order, and not by a reset. */
    fun markInputEnded() {
        isInputEnded = true
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
            is ReadState.Head -> acceptHead(context, response, current)
            ReadState.Idle, is ReadState.Skipping, is ReadState.Body -> context.close()
        }
    }

    private fun acceptHead(
        context: ChannelHandlerContext,
        response: HttpResponse,
        expected: ReadState.Head
    ) {
        val exchange = expected.exchange
        if (response.decoderResult().isFailure || response.containsOtherHead()) {
            return failInvalid(context, exchange, "the head of the answer is not valid HTTP")
        }
        if (response.status() == HttpResponseStatus.SWITCHING_PROTOCOLS) {
            return failInvalid(context, exchange, "the target switched protocols without request")
        }
        if (response.isInterim()) return skip(context, expected)
        when (response.ownerFor(exchange)) {
            AnswerOwner.ThisRequest -> startBody(context, response, exchange)
            AnswerOwner.OtherRequest -> skip(context, expected)
            AnswerOwner.Unknown ->
                failInvalid(context, exchange, "the answer does not say whose it is")
        }
    }

    private fun startBody(
        context: ChannelHandlerContext,
        response: HttpResponse,
        exchange: TargetExchange
    ) {
        val receiver = AnswerReceiver.of(context.channel(), exchange, response)
        keepAlive = response.keepAliveTimeout()
        state = ReadState.Body(
            exchange,
            receiver,
            reusable = HttpUtil.isKeepAlive(response),
            endsWithConnection = response.endsWithConnection(exchange)
        )
        receiver.start()
    }

    private fun skip(context: ChannelHandlerContext, expected: ReadState.Head) {
        val skipped = expected.skipped.copy(answers = expected.skipped.answers + 1)
        state = ReadState.Skipping(expected.exchange, skipped)
        if (skipped.isTooMuch) failSkipping(context, expected.exchange)
    }

    private fun failSkipping(context: ChannelHandlerContext, exchange: TargetExchange) =
        failInvalid(context, exchange, "too much arrived that does not belong to the answer")

    /** Whether a head that ended in the middle of a field precedes the answer's own. */
    private fun HttpResponse.containsOtherHead(): Boolean =
        headers().any { it.value.contains(PROTOCOL) && STATUS_LINE.containsMatchIn(it.value) }

    private fun HttpResponse.isInterim(): Boolean = status().code() < FIRST_FINAL_STATUS

    private fun HttpResponse.ownerFor(exchange: TargetExchange): AnswerOwner {
        val ownership = exchange.request.ownership
        val repeated = ownership.headerName?.let { headers().getAll(it) }.orEmpty()
        return ownership.ownerOf(repeated, isReused)
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
            is ReadState.Skipping -> skipContent(context, content, current)
            is ReadState.Body -> receiveBody(context, content, current)
            ReadState.Idle, is ReadState.Head -> Unit
        }
    }

    private fun skipContent(
        context: ChannelHandlerContext,
        content: HttpContent,
        current: ReadState.Skipping
    ) {
        val bytes = current.skipped.bytes + content.content().readableBytes()
        val skipped = current.skipped.copy(bytes = bytes)
        when {
            content.decoderResult().isFailure || skipped.isTooMuch ->
                failSkipping(context, current.exchange)
            content is LastHttpContent -> state = ReadState.Head(current.exchange, skipped)
            else -> state = current.copy(skipped = skipped)
        }
    }

    private fun receiveBody(
        context: ChannelHandlerContext,
        content: HttpContent,
        body: ReadState.Body
    ) {
        if (content.decoderResult().isFailure) return closeBroken(context, "malformed chunk")
        body.receiver.accept(content.content())
        if (content !is LastHttpContent) return
        if (body.isCut()) return closeBroken(context, "the connection did not end in order")
        end(context, body)
        body.receiver.complete()
    }

    /**
     * Whether a body that ends with its connection is incomplete. The decoder ends it in the same
     * way after an orderly end, after a failed write and when this side closes the connection. A
     * target that ends its side before it has the whole request may have ended itself.
     */
    private fun ReadState.Body.isCut(): Boolean =
        endsWithConnection && !(isInputEnded && requestWritten)

    private fun end(context: ChannelHandlerContext, body: ReadState.Body) {
        state = ReadState.Idle
        isReused = true
        idleSinceNanos = System.nanoTime()
        body.exchange.detach()
        context.channel().config().isAutoRead = true
        val hasRest = context.pipeline().get(AnswerDecoder::class.java).hasUnreadBytes
        if (!body.reusable || !requestWritten || hasRest) context.close()
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

    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        if (event is ChannelInputShutdownEvent) {
            closeBroken(context, "the target closed the connection")
        }
        context.fireUserEventTriggered(event)
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
