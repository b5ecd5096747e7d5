package org.wisteriahinge.adapters.backend

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel as NettyChannel
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import java.io.ByteArrayOutputStream
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.wisteriahinge.core.call.AttemptFailure

/**
 * Largest body that is read completely before the answer is reported.
 *
 * Nothing of such an answer has been sent to the caller when it is truncated, so the attempt can be
 * retried or the call refused. Lookups of both deployments answer with less than 16 KiB.
 */
private const val WHOLE_BODY_LIMIT_BYTES = 64L * 1_024

private const val NO_CONTENT = 204
private const val NOT_MODIFIED = 304

/** Receives the body of one answer. Used on the connection's event loop only. */
internal sealed interface AnswerReceiver {
    fun start()

    fun accept(content: ByteBuf)

    fun complete()

    fun truncated(detail: String)

    companion object {
        /** The receiver for the body of [response], chosen by its status and declared length. */
        fun of(
            channel: NettyChannel,
            exchange: TargetExchange,
            response: HttpResponse
        ): AnswerReceiver {
            val head = AnswerHead(
                response.status().code(),
                response.headers().entries().map { HeaderField(it.key, it.value) }
                    .toPersistentList()
            )
            val declaredBytes = HttpUtil.getContentLength(response, -1L).takeIf { it >= 0 }
            return when {
                response.hasNoBody(exchange) ->
                    BodilessReceiver(exchange, head.withBody(AnswerBody.Absent(declaredBytes)))
                declaredBytes != null && declaredBytes > WHOLE_BODY_LIMIT_BYTES ->
                    StreamReceiver(channel, exchange, head, declaredBytes)
                else -> CollectingReceiver(channel, exchange, head)
            }
        }
    }
}

/** Whether the answer has no body because of its status or the method of [exchange]. */
private fun HttpResponse.hasNoBody(exchange: TargetExchange): Boolean =
    exchange.isHead || status().code() == NO_CONTENT || status().code() == NOT_MODIFIED

/** Whether the answer to [exchange] has a body that only the end of its connection ends. */
internal fun HttpResponse.endsWithConnection(exchange: TargetExchange): Boolean =
    !hasNoBody(exchange) && !HttpUtil.isTransferEncodingChunked(this) &&
        !HttpUtil.isContentLengthSet(this)

/** Status and headers of an answer whose body is being received. */
internal class AnswerHead(
    private val status: Int,
    private val headers: PersistentList<HeaderField>
) {
    fun withBody(body: AnswerBody) = BackendAnswer(status, headers, body)
}

/** Receives an answer without a body. */
private class BodilessReceiver(
    private val exchange: TargetExchange,
    private val answer: BackendAnswer
) : AnswerReceiver {
    override fun start() = Unit

    override fun accept(content: ByteBuf) = Unit

    override fun complete() {
        exchange.answered(answer)
    }

    override fun truncated(detail: String) {
        exchange.failed(AttemptFailure.Truncated, "the answer ended early ($detail)")
    }
}

/**
 * Collects a body and reports the whole answer. A body of unknown length that grows beyond
 * [WHOLE_BODY_LIMIT_BYTES] is streamed from then on.
 */
private class CollectingReceiver(
    private val connection: NettyChannel,
    private val exchange: TargetExchange,
    private val head: AnswerHead
) : AnswerReceiver {
    private val collected = ByteArrayOutputStream()
    private var stream: StreamReceiver? = null

    override fun start() = Unit

    override fun accept(content: ByteBuf) {
        val streaming = stream
        if (streaming != null) return streaming.accept(content)
        content.readBytes(collected, content.readableBytes())
        if (collected.size() > WHOLE_BODY_LIMIT_BYTES) stream = startStream()
    }

    private fun startStream() = StreamReceiver(connection, exchange, head, null).apply {
        start()
        accept(Unpooled.wrappedBuffer(collected.toByteArray()))
    }

    override fun complete() {
        val streaming = stream
        if (streaming != null) return streaming.complete()
        exchange.answered(head.withBody(AnswerBody.Whole(collected.toByteArray())))
    }

    override fun truncated(detail: String) {
        val streaming = stream
        if (streaming != null) return streaming.truncated(detail)
        exchange.failed(AttemptFailure.Truncated, "the answer ended early ($detail)")
    }
}

/** Streams a long body; reads from the connection only while the flow is resumed. */
private class StreamReceiver(
    private val connection: NettyChannel,
    private val exchange: TargetExchange,
    private val head: AnswerHead,
    private val lengthBytes: Long?
) : AnswerReceiver,
    AnswerFlow {
    private var isResumed = false
    private var pending: PersistentList<ByteArray> = persistentListOf()
    private var end: StreamEnd = StreamEnd.NotReached

    override fun start() {
        connection.config().isAutoRead = false
        exchange.answered(head.withBody(AnswerBody.Streamed(lengthBytes, this)))
    }

    override fun resume() {
        isResumed = true
        while (isResumed && pending.isNotEmpty()) {
            val piece = pending.first()
            pending = pending.removeAt(0)
            exchange.received(piece)
        }
        if (isResumed) reportEnd()
    }

    private fun reportEnd() {
        when (val reached = end) {
            StreamEnd.NotReached -> connection.config().isAutoRead = true
            StreamEnd.Complete -> exchange.completed()
            is StreamEnd.Truncated -> exchange.truncated(reached.detail)
        }
    }

    override fun pause() {
        isResumed = false
        if (end == StreamEnd.NotReached) connection.config().isAutoRead = false
    }

    override fun discard() = exchange.abandon()

    override fun accept(content: ByteBuf) {
        if (!content.isReadable) return
        val piece = ByteBufUtil.getBytes(content)
        if (isResumed && pending.isEmpty()) {
            exchange.received(piece)
        } else {
            pending = pending.add(piece)
        }
    }

    override fun complete() = ended(StreamEnd.Complete)

    override fun truncated(detail: String) = ended(StreamEnd.Truncated(detail))

    private fun ended(reached: StreamEnd) {
        end = reached
        if (isResumed && pending.isEmpty()) reportEnd()
    }
}

/** How a streamed body ended, if it has. */
private sealed interface StreamEnd {
    data object NotReached : StreamEnd
    data object Complete : StreamEnd
    data class Truncated(val detail: String) : StreamEnd
}
