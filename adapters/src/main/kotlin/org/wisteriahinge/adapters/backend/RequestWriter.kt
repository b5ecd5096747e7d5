package org.wisteriahinge.adapters.backend

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import org.wisteriahinge.core.call.AttemptFailure

/** Writes the request of [exchange] to a connection. Used on the I/O thread only. */
internal class RequestWriter(private val exchange: TargetExchange) {
    private val request get() = exchange.request

    /** Writes the head and a buffered body, or attaches a streamed body to [channel]. */
    fun write(channel: Channel) {
        val body = request.body
        val handler = channel.targetHandler()
            ?: return exchange.failed(AttemptFailure.NotSent, "connection closed before writing")
        handler.begin(exchange)
        if (body is RequestBody.Streamed && body.isConsumed) {
            exchange.failed(AttemptFailure.NotSent, "body already streamed by an earlier attempt")
            return
        }
        when (body) {
            RequestBody.None -> writeWhole(channel, ByteArray(0), declareLength = false)
            is RequestBody.Buffered -> writeWhole(channel, body.bytes, declareLength = true)
            is RequestBody.Streamed -> writeStreamed(channel, handler, body)
        }
    }

    private fun writeWhole(channel: Channel, bytes: ByteArray, declareLength: Boolean) {
        val message = DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.valueOf(request.method),
            request.pathAndQuery,
            Unpooled.wrappedBuffer(bytes)
        )
        fill(message.headers())
        if (declareLength) HttpUtil.setContentLength(message, bytes.size.toLong())
        channel.writeAndFlush(message).addListener {
            if (it.isSuccess) channel.targetHandler()?.markRequestWritten()
        }
    }

    private fun writeStreamed(
        channel: Channel,
        handler: TargetConnectionHandler,
        body: RequestBody.Streamed
    ) {
        val message = DefaultHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.valueOf(request.method),
            request.pathAndQuery
        )
        fill(message.headers())
        val length = body.lengthBytes
        if (length == null) {
            HttpUtil.setTransferEncodingChunked(message, true)
        } else {
            HttpUtil.setContentLength(message, length)
        }
        channel.writeAndFlush(message)
        handler.stream = body.stream
        body.stream.attach(ChannelSink(channel, body.stream))
    }

    private fun fill(headers: HttpHeaders) {
        request.headers.forEach { (name, value) -> headers.add(name, value) }
        headers.set(HttpHeaderNames.HOST, request.host ?: exchange.address.toString())
    }
}

/** Writes a body to a target's connection; pauses reading from the caller while it is full. */
private class ChannelSink(private val channel: Channel, private val stream: BodyStream) : BodySink {
    override fun write(bytes: ByteArray) {
        channel.writeAndFlush(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
        stream.setReading(channel.isWritable)
    }

    override fun end() {
        channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener {
            if (it.isSuccess) channel.targetHandler()?.markRequestWritten()
        }
    }
}
