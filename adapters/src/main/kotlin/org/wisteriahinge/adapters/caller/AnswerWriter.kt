package org.wisteriahinge.adapters.caller

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import java.math.BigDecimal
import java.time.Duration
import org.wisteriahinge.adapters.backend.AnswerBody
import org.wisteriahinge.adapters.backend.BackendAnswer
import org.wisteriahinge.adapters.backend.HeaderField
import org.wisteriahinge.adapters.clients.TrackedClient
import org.wisteriahinge.adapters.handover.HandoverHeaders
import org.wisteriahinge.adapters.handover.encodeRefusal
import org.wisteriahinge.core.membership.RetainedAnswer
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.Refusal

private const val MILLI_DIGITS = 3
private const val MILLIS_PER_SECOND = 1_000L

/**
 * Writes the final answer to one request. Used on the I/O thread only.
 *
 * [closesConnection] says whether the answer carries `Connection: close`, after which the
 * connection is closed.
 */
internal class AnswerWriter(
    private val channel: Channel,
    private val client: TrackedClient,
    private val services: CallerServices,
    private val closesConnection: () -> Boolean
) {
    /** Whether the head of an answer was written. */
    var isCommitted = false
        private set

    /** Whether the outbound buffer of the caller's connection has room. */
    val isWritable: Boolean get() = channel.isWritable

    /** Writes [answer] with its whole body; [onWritten] is told whether the write succeeded. */
    fun writeWhole(answer: BackendAnswer, body: AnswerBody.Whole, onWritten: (Boolean) -> Unit) {
        val response = response(answer.status, body.bytes)
        response.headers().addFields(services.rules.delivered(answer.headers))
        HttpUtil.setContentLength(response, body.bytes.size.toLong())
        commit(response, onWritten)
    }

    /** Writes [answer], which has no body, with the `Content-Length` that it declared. */
    fun writeBodiless(
        answer: BackendAnswer,
        body: AnswerBody.Absent,
        onWritten: (Boolean) -> Unit
    ) {
        val response = response(answer.status, ByteArray(0))
        response.headers().addFields(services.rules.delivered(answer.headers))
        body.lengthBytes?.let { HttpUtil.setContentLength(response, it) }
        commit(response, onWritten)
    }

    /**
     * Writes the head of [answer]. [writePiece] and [writeEnd] follow.
     *
     * The body is chunked when [lengthBytes] is null.
     */
    fun writeHead(answer: BackendAnswer, lengthBytes: Long?) {
        val response =
            DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(answer.status))
        response.headers().addFields(services.rules.delivered(answer.headers))
        if (lengthBytes == null) {
            HttpUtil.setTransferEncodingChunked(response, true)
        } else {
            HttpUtil.setContentLength(response, lengthBytes)
        }
        response.headers().setConnection()
        isCommitted = true
        channel.write(response)
    }

    fun writePiece(piece: ByteArray) {
        client.answerWritten(piece.size)
        channel.writeAndFlush(DefaultHttpContent(Unpooled.wrappedBuffer(piece)))
            .addListener { client.answerRead(piece.size) }
        if (!channel.isWritable) client.awaitReading()
    }

    fun writeEnd(onWritten: (Boolean) -> Unit) {
        channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
            .addListener { onWritten(it.isSuccess) }
    }

    /** Writes [refusal] as a problem document; aborts if the head of an answer was written. */
    fun refuse(refusal: Refusal, callId: CallId, onWritten: (Boolean) -> Unit) {
        if (isCommitted) return abort()
        val json = ProblemDocument.of(refusal, callId.toString()).toJson().encodeToByteArray()
        val response = response(refusal.reason.status, json)
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, ProblemDocument.MEDIA_TYPE)
        refusal.retryAfter?.let {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, retryAfterSeconds(it))
        }
        when (services.settings.source) {
            CallSource.Callers -> Unit
            is CallSource.Instances ->
                response.headers().set(HandoverHeaders.REFUSAL, encodeRefusal(refusal))
        }
        HttpUtil.setContentLength(response, json.size.toLong())
        commit(response, onWritten)
    }

    /** Writes the [answer] that was retained for an earlier request with the same key. */
    fun writeRetained(answer: RetainedAnswer, onWritten: (Boolean) -> Unit) {
        val body = answer.body.toByteArray()
        val response = response(answer.status, body)
        answer.contentType?.let { response.headers().set(HttpHeaderNames.CONTENT_TYPE, it) }
        HttpUtil.setContentLength(response, body.size.toLong())
        commit(response, onWritten)
    }

    /** Closes the connection, so that the caller recognises a partial answer as truncated. */
    fun abort() {
        channel.close()
    }

    private fun response(status: Int, body: ByteArray) = DefaultFullHttpResponse(
        HttpVersion.HTTP_1_1,
        HttpResponseStatus.valueOf(status),
        Unpooled.wrappedBuffer(body)
    )

    private fun HttpHeaders.addFields(fields: List<HeaderField>) {
        fields.forEach { add(it.name, it.value) }
    }

    private fun HttpHeaders.setConnection() {
        if (closesConnection()) set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    }

    private fun commit(response: DefaultFullHttpResponse, onWritten: (Boolean) -> Unit) {
        response.headers().setConnection()
        isCommitted = true
        val bytes = response.content().readableBytes()
        client.answerWritten(bytes)
        val written = channel.writeAndFlush(response)
        written.addListener(
            ChannelFutureListener {
                client.answerRead(bytes)
                onWritten(it.isSuccess)
            }
        )
        if (!written.isDone) client.awaitReading()
    }

    private fun retryAfterSeconds(delay: Duration): String =
        if (services.dialect.fractionalRetryAfter) {
            BigDecimal.valueOf(delay.toMillis(), MILLI_DIGITS).toPlainString()
        } else {
            delay.plusMillis(MILLIS_PER_SECOND - 1).toSeconds().coerceAtLeast(1).toString()
        }
}
