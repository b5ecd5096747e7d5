package org.wisteriahinge.adapters.backend

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel as NettyChannel
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import java.io.ByteArrayOutputStream
import kotlinx.collections.immutable.PersistentList
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
        /** The receiver for [response]; a body without a length ends with its connection. */
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
            val declared = HttpUtil.getContentLength(response, -1L).takeIf { it >= 0 }
            return when {
                response.hasNoBody(exchange) ->
                    BodilessReceiver(exchange, head.with(AnswerBody.Absent(declared)))
                declared != null && declared > WHOLE_BODY_LIMIT_BYTES ->
                    StreamReceiver(channel, exchange, head, declared)
                else -> CollectingReceiver(channel, exchange, head)
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
    private val headers: PersistentList<HeaderField>
) {
    fun with(body: AnswerBody) = BackendAnswer(status, headers, body)
}

/** An answer that consists of its head. */
private class BodilessReceiver(
    private val exchange: TargetExchange,
    private val answer: BackendAnswer
) : AnswerReceiver {
    override fun start() = Unit

    override fun accept(content: ByteBuf) = Unit

    override fun complete() {
        exchange.answer.complete(answer)
    }

    override fun truncated(detail: String) {
        exchange.fail(AttemptFailure.Truncated, "the answer ended early ($detail)")
    }
}

/**
 * Collects a body and hands the whole answer over. A body of unknown length that grows beyond
 * [WHOLE_BODY_LIMIT_BYTES] is passed on in pieces from there on.
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
        val rest = stream
        if (rest != null) return rest.accept(content)
        content.readBytes(collected, content.readableBytes())
        if (collected.size() > WHOLE_BODY_LIMIT_BYTES) stream = startStream()
    }

    private fun startStream() = StreamReceiver(connection, exchange, head, null).apply {
        start()
        accept(Unpooled.wrappedBuffer(collected.toByteArray()))
    }

    override fun complete() {
        val rest = stream
        if (rest != null) return rest.complete()
        exchange.answer.complete(head.with(AnswerBody.Whole(collected.toByteArray())))
    }

    override fun truncated(detail: String) {
        val rest = stream
        if (rest != null) return rest.truncated(detail)
        exchange.fail(AttemptFailure.Truncated, "the answer ended early ($detail)")
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
