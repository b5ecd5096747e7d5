package org.wisteriahinge.adapters.backend

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import kotlin.coroutines.resume
import kotlinx.coroutines.suspendCancellableCoroutine
import org.wisteriahinge.core.call.AttemptFailure

/** Encodes the request of [exchange] onto a connection. */
internal class RequestWriter(private val exchange: TargetExchange) {
    private val request get() = exchange.request

    /** Writes the head and a body that is in memory. Called on the connection's event loop. */
    fun writeHead(channel: Channel) {
        val body = request.body
        val handler = channel.targetHandler()
            ?: return exchange.fail(AttemptFailure.NotSent, "the connection closed before use")
        handler.begin(exchange)
        if (body is RequestBody.Once && !body.use()) {
            exchange.fail(AttemptFailure.NotSent, "the body was passed on by an earlier attempt")
            return
        }
        when (body) {
            RequestBody.None -> writeWhole(channel, ByteArray(0), declareLength = false)
            is RequestBody.Whole -> writeWhole(channel, body.bytes, declareLength = true)
            is RequestBody.Once -> writeStreamedHead(channel, body)
        }
        exchange.written.complete(channel)
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
        channel.targetHandler()?.requestWritten()
        channel.writeAndFlush(message)
    }

    private fun writeStreamedHead(channel: Channel, body: RequestBody.Once) {
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
    }

    private fun fill(headers: HttpHeaders) {
        request.headers.forEach { (name, value) -> headers.add(name, value) }
        headers.set(HttpHeaderNames.HOST, request.host ?: exchange.address.toString())
    }

    /** Passes the body on piece by piece, each after the one before was written to the socket. */
    suspend fun writeBody(body: RequestBody.Once) {
        val channel = exchange.written.await()
        while (true) {
            val piece = body.source.next() ?: break
            val content = DefaultHttpContent(Unpooled.wrappedBuffer(piece))
            if (!channel.writeAndFlush(content).succeeds()) return
        }
        val written = channel.newPromise()
        written.addListener { if (it.isSuccess) channel.targetHandler()?.requestWritten() }
        channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT, written).succeeds()
    }

    // A failed write needs no report: the connection's end fails the exchange.
    private suspend fun ChannelFuture.succeeds(): Boolean =
        suspendCancellableCoroutine { continuation ->
            addListener { continuation.resume(it.isSuccess) }
        }
}
