package org.wisteriahinge.adapters.caller

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.channel.Channel
import io.netty.util.AttributeKey
import java.io.ByteArrayOutputStream
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit
import org.wisteriahinge.adapters.backend.BodyStream
import org.wisteriahinge.adapters.backend.RequestBody
import org.wisteriahinge.core.model.RefusalReason

/** Set on the channel when the framing of the current request's body is invalid. */
internal val MalformedBody: AttributeKey<Boolean> =
    AttributeKey.valueOf("malformed-body")

private const val INITIAL_BUFFER_BYTES = 4 * 1_024

/** Is told by a [BodyReceiver] when the request can proceed or must be refused. */
internal interface BodyListener {
    /** The request can be forwarded with [body]; a streamed body may still be arriving. */
    fun bodyReady(body: RequestBody)

    /** The body is too large, malformed or sent too slowly. */
    fun bodyRejected(reason: RefusalReason)
}

/**
 * Receives the body of one request and buffers it, or streams it if it exceeds the [BodyLimits].
 *
 * Used on the I/O thread only.
 */
internal class BodyReceiver(
    private val channel: Channel,
    private val services: CallerServices,
    private val head: RequestHead,
    private val listener: BodyListener
) {
    private val limits = services.settings.body
    private val maxBytes = services.bounds().maxBodyBytes
    private val expectedBytes = head.contentLength ?: limits.maxBufferedBytes.toLong()
    private var receivedBytes = 0L
    private var buffer: ByteArrayOutputStream? = null
    private var stream: BodyStream? = null
    private var reservedBytes = 0L
    private var stallTimer: Future<*>? = null

    /** Whether the body was received, rejected or cancelled; later content is ignored. */
    var isEnded = false
        private set

    /** Chooses between buffering and streaming. Called once, after the head was received. */
    fun start() {
        when {
            !head.hasBody -> listener.bodyReady(RequestBody.None)
            expectedBytes > maxBytes -> reject(RefusalReason.BodyTooLarge)
            expectedBytes > limits.maxBufferedBytes ||
                !services.bodyMemory.tryReserve(expectedBytes) ->
                startStreaming(head.contentLength)
            else -> {
                reservedBytes = expectedBytes
                buffer = ByteArrayOutputStream(head.contentLength?.toInt() ?: INITIAL_BUFFER_BYTES)
                restartStallTimer()
            }
        }
    }

    private fun startStreaming(lengthBytes: Long?) {
        val started = BodyStream { more -> channel.config().isAutoRead = more }
        stream = started
        restartStallTimer()
        listener.bodyReady(RequestBody.Streamed(lengthBytes, started))
    }

    fun receive(content: ByteBuf) {
        if (isEnded || !content.isReadable) return
        receivedBytes += content.readableBytes()
        if (receivedBytes > maxBytes) return reject(RefusalReason.BodyTooLarge)
        restartStallTimer()
        val buffered = buffer ?: return stream?.offer(ByteBufUtil.getBytes(content)) ?: Unit
        content.readBytes(buffered, content.readableBytes())
        if (buffered.size() > limits.maxBufferedBytes) switchToStreaming(buffered)
    }

    /** Continues a chunked body that outgrew the buffer as a stream. */
    private fun switchToStreaming(buffered: ByteArrayOutputStream) {
        buffer = null
        releaseMemory()
        startStreaming(null)
        stream?.offer(buffered.toByteArray())
    }

    /** Called after the last piece of the body. */
    fun end() {
        if (isEnded) return
        if (channel.attr(MalformedBody).get() == true) return reject(RefusalReason.MalformedRequest)
        stopReceiving()
        val buffered = buffer ?: return stream?.end() ?: Unit
        listener.bodyReady(RequestBody.Buffered(buffered.toByteArray()))
    }

    private fun restartStallTimer() {
        stallTimer?.cancel(false)
        val stallMillis = limits.stallTimeout.toMillis()
        stallTimer = channel.eventLoop().schedule(::onStall, stallMillis, TimeUnit.MILLISECONDS)
    }

    /** While reading is paused because the target is slow, the caller is not at fault. */
    private fun onStall() {
        if (channel.config().isAutoRead) reject(RefusalReason.SlowSender) else restartStallTimer()
    }

    private fun reject(reason: RefusalReason) {
        stopReceiving()
        listener.bodyRejected(reason)
    }

    private fun stopReceiving() {
        isEnded = true
        stallTimer?.cancel(false)
    }

    private fun releaseMemory() {
        services.bodyMemory.release(reservedBytes)
        reservedBytes = 0
    }

    /** Releases the buffer after the call ended; content that still arrives is ignored. */
    fun cancel() {
        stopReceiving()
        releaseMemory()
    }
}
