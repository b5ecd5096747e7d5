package org.wisteriahinge.adapters.caller

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelDuplexHandler
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelPromise
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.util.ReferenceCountUtil
import org.wisteriahinge.adapters.clients.ClientEvicted
import org.wisteriahinge.adapters.clients.HeadNotHeld
import org.wisteriahinge.core.model.Execution
import org.wisteriahinge.core.model.Refusal
import org.wisteriahinge.core.model.RefusalReason

private const val OVERLOADED_RETRY_AFTER_SECONDS = 1

/**
 * Refuses requests with invalid or ambiguous framing before later handlers see them, and closes the
 * connection after an answer with `Connection: close`.
 *
 * [onRefused] is called with the reason of each refusal. [newCallId] supplies the call id for the
 * problem document.
 */
internal class FramingHandler(
    private val headTimeout: HeadTimeoutHandler,
    private val foldedHeaders: FoldedHeaderHandler,
    private val newCallId: () -> String,
    private val onRefused: (RefusalReason) -> Unit
) : ChannelDuplexHandler() {
    private var unanswered = 0
    private var closeAfterAnswer = false

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (message is HttpRequest) headTimeout.headComplete()
        when {
            message is HttpRequest && message.decoderResult().isFailure -> {
                ReferenceCountUtil.release(message)
                context.refuse(reasonOf(message.decoderResult().cause()))
            }
            message is HttpRequest && !message.headers().areUnambiguous() -> {
                ReferenceCountUtil.release(message)
                context.refuse(RefusalReason.MalformedRequest)
            }
            message is HttpContent && message.decoderResult().isFailure -> {
                ReferenceCountUtil.release(message)
                context.channel().attr(MalformedBody).set(true)
                context.fireChannelRead(LastHttpContent.EMPTY_LAST_CONTENT)
            }
            else -> {
                if (message is HttpRequest) unanswered++
                context.fireChannelRead(message)
            }
        }
    }

    override fun write(context: ChannelHandlerContext, message: Any, promise: ChannelPromise) {
        if (message is HttpResponse && message.status() == HttpResponseStatus.CONTINUE) {
            context.write(message, promise)
            return
        }
        if (message is HttpResponse && !HttpUtil.isKeepAlive(message)) closeAfterAnswer = true
        if (message is LastHttpContent) {
            unanswered--
            if (closeAfterAnswer) promise.addListener(ChannelFutureListener.CLOSE)
            // Not before the write completes: an idle connection may be closed immediately.
            promise.addListener { if (unanswered == 0) headTimeout.awaitRequest() }
            foldedHeaders.awaitRequest()
        }
        context.write(message, promise)
    }

    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        when (event) {
            HeadTimedOut -> context.refuse(RefusalReason.SlowSender)
            HeadNotHeld -> context.refuse(RefusalReason.InstanceOverloaded)
            ClientEvicted -> evicted(context)
            FoldedHeader -> context.refuse(RefusalReason.MalformedRequest)
            else -> context.fireUserEventTriggered(event)
        }
    }

    /** The connection is closed next; without a request there is nothing to refuse. */
    private fun evicted(context: ChannelHandlerContext) {
        if (unanswered > 0) {
            context.fireUserEventTriggered(ClientEvicted)
        } else if (headTimeout.isReceivingHead) {
            context.refuse(RefusalReason.SlowSender)
        }
    }

    private fun HttpHeaders.areUnambiguous(): Boolean {
        val codings = getAll(HttpHeaderNames.TRANSFER_ENCODING)
        val isKnownCoding = codings.isEmpty() ||
            HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.singleOrNull())
        return isKnownCoding && getAll(HttpHeaderNames.HOST).size == 1
    }

    private fun reasonOf(cause: Throwable): RefusalReason = when (cause) {
        is TooLongHttpHeaderException, is TooLongHttpLineException -> RefusalReason.HeadersTooLarge
        else -> RefusalReason.MalformedRequest
    }

    private fun ChannelHandlerContext.refuse(reason: RefusalReason) {
        onRefused(reason)
        // The answer to an earlier request may be partly written; a refusal would corrupt it.
        if (unanswered > 0) {
            close()
            return
        }
        val refusal = Refusal(reason, Execution.NotRun)
        val json = ProblemDocument.of(refusal, newCallId()).toJson().encodeToByteArray()
        val response = DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(reason.status),
            Unpooled.wrappedBuffer(json)
        )
        response.headers()
            .set(HttpHeaderNames.CONTENT_TYPE, ProblemDocument.MEDIA_TYPE)
            .set(HttpHeaderNames.CONTENT_LENGTH, json.size)
            .set(HttpHeaderNames.CONNECTION, "close")
        if (reason == RefusalReason.InstanceOverloaded) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, OVERLOADED_RETRY_AFTER_SECONDS)
        }
        writeAndFlush(response).addListener(ChannelFutureListener.CLOSE)
    }
}
