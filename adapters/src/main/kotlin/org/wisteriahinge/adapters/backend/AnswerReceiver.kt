package org.wisteriahinge.adapters.backend

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel as NettyChannel
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.channels.Channel
import org.wisteriahinge.core.call.AttemptFailure

/**
 * Longest body that is read completely before its head is reported.
 *
 * A truncated short answer can then be tried again or refused, because the caller has seen
 * nothing of it. Lookups of both deployments answer with less than 16 KiB.
 */
private const val WHOLE_BODY_LIMIT_BYTES = 64L * 1_024

private const val NO_CONTENT = 204
private const val NOT_MODIFIED = 304

/** Receives the body of one answer on the connection's event loop. */
internal sealed interface AnswerReceiver {
    fun start()

    fun accept(content: ByteBuf)

    fun complete()

    fun truncated(detail: String)

    companion object {
        /** The receiver for [response]; null when the end of its body could not be told. */
        fun of(
            channel: NettyChannel,
            exchange: TargetExchange,
            response: HttpResponse
        ): AnswerReceiver? {
            val head = AnswerHead(
                response.status().code(),
                response.headers().entries().map { HeaderField(it.key, it.value) }
                    .toPersistentList()
            )
            val declared = HttpUtil.getContentLength(response, -1L).takeIf { it >= 0 }
            return when {
                response.hasNoBody(exchange) ->
                    WholeReceiver(exchange, head, AnswerBody.Absent(declared))
                HttpUtil.isTransferEncodingChunked(response) ->
                    StreamReceiver(channel, exchange, head, null)
                declared == null -> null
                declared <= WHOLE_BODY_LIMIT_BYTES -> WholeReceiver(exchange, head)
                else -> StreamReceiver(channel, exchange, head, declared)
            }
        }

        private fun HttpResponse.hasNoBody(exchange: TargetExchange): Boolean =
            exchange.request.method == HttpMethod.HEAD.name() ||
                status().code() == NO_CONTENT || status().code() == NOT_MODIFIED
    }
}

/** Status and headers of an answer whose body is being received. */
internal class AnswerHead(
    private val status: Int,
    private val headers: kotlinx.collections.immutable.PersistentList<HeaderField>
) {
    fun with(body: AnswerBody) = BackendAnswer(status, headers, body)
}

/** Collects a short body, then hands the whole answer over. */
private class WholeReceiver(
    private val exchange: TargetExchange,
    private val head: AnswerHead,
    private val absent: AnswerBody.Absent? = null
) : AnswerReceiver {
    private var collected = Unpooled.EMPTY_BUFFER

    override fun start() = Unit

    override fun accept(content: ByteBuf) {
        if (!content.isReadable) return
        val bytes = ByteBufUtil.getBytes(content)
        collected = if (collected.isReadable) {
            Unpooled.wrappedBuffer(collected, Unpooled.wrappedBuffer(bytes))
        } else {
            Unpooled.wrappedBuffer(bytes)
        }
    }

    override fun complete() {
        val body = absent ?: AnswerBody.Whole(ByteBufUtil.getBytes(collected, 0, size(), false))
        exchange.answer.complete(head.with(body))
    }

    private fun size() = collected.readableBytes()

    override fun truncated(detail: String) {
        exchange.fail(AttemptFailure.Disconnected, "the answer ended early ($detail)")
    }
}

/** Passes a long body on in pieces; reads from the connection only when a piece is asked for. */
private class StreamReceiver(
    private val connection: NettyChannel,
    private val exchange: TargetExchange,
    private val head: AnswerHead,
    private val lengthBytes: Long?
) : AnswerReceiver {
    // Holds at most what one read of the connection decodes into, because reads are on demand.
    private val pieces = Channel<ByteArray>(Channel.UNLIMITED)

    override fun start() {
        connection.config().isAutoRead = false
        exchange.answer.complete(head.with(AnswerBody.Streamed(lengthBytes, ::next)))
    }

    private suspend fun next(): ByteArray? {
        val ready = pieces.tryReceive()
        if (ready.isSuccess) return ready.getOrNull()
        connection.read()
        val received = pieces.receiveCatching()
        received.exceptionOrNull()?.let { throw it }
        return received.getOrNull()
    }

    override fun accept(content: ByteBuf) {
        if (content.isReadable) pieces.trySend(ByteBufUtil.getBytes(content))
    }

    override fun complete() {
        pieces.close()
    }

    override fun truncated(detail: String) {
        pieces.close(TruncatedAnswerException(detail))
    }
}
