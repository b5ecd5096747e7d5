package org.wisteriahinge.adapters.caller

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.util.AttributeKey
import java.io.ByteArrayOutputStream
import java.time.Duration
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit
import org.wisteriahinge.adapters.backend.BodyStream
import org.wisteriahinge.adapters.backend.RequestBody
import org.wisteriahinge.adapters.clients.TrackedClient
import org.wisteriahinge.core.model.RefusalReason

/** Set on the channel when the framing of the current request's body is invalid. */
internal val MalformedBody: AttributeKey<Boolean> =
    AttributeKey.valueOf("malformed-body")

/** Small pieces of a streamed body are joined up to this size before they are passed on. */
private const val JOINED_PIECE_BYTES = 4 * 1_024

/** Is told by a [BodyReceiver] when the request can proceed or must be refused. */
internal interface BodyListener {
    /** The request can be forwarded with [body]; a streamed body may still be arriving. */
    fun bodyReady(body: RequestBody)

    /** The body is too large, malformed, sent too slowly, or does not fit into the memory. */
    fun bodyRejected(reason: RefusalReason)
}

/**
 * Receives the body of one request and buffers it, or streams it if it exceeds the [BodyLimits].
 *
 * A body that is buffered has to arrive before the deadline of its request. Used on the I/O thread
 * only.
 */
internal class BodyReceiver(
    private val channel: Channel,
    private val client: TrackedClient,
    private val services: CallerServices,
    private val head: RequestHead,
    private val listener: BodyListener
) {
    private val limits = services.settings.body
    private val maxBytes = services.bounds().maxBodyBytes
    private val deadlineNanos = System.nanoTime() + services.timeoutOf(head).toNanos()
    private var receivedBytes = 0L
    private var receivedNanos = System.nanoTime()
    private var buffer: BodyBuffer? = null
    private var stream: BodyStream? = null
    private val joined = ByteArrayOutputStream()
    private var reservedBytes = 0L
    private var timer: Future<*>? = null

    /** Whether the body was received, rejected or cancelled; later content is ignored. */
    var isEnded = false
        private set

    /** Chooses between buffering and streaming. Called once, after the head was received. */
    fun start() {
        val length = head.contentLength
        when {
            !head.hasBody -> listener.bodyReady(RequestBody.None)
            length != null && length > maxBytes -> reject(RefusalReason.BodyTooLarge)
            length != null && length > limits.maxBufferedBytes -> startStreaming(length)
            else -> {
                buffer = BodyBuffer(length?.toInt())
                startTimer()
            }
        }
    }

    private fun startStreaming(lengthBytes: Long?) {
        val started = BodyStream { more -> channel.config().isAutoRead = more }
        stream = started
        startTimer()
        listener.bodyReady(RequestBody.Streamed(lengthBytes, started))
    }

    fun receive(content: ByteBuf) {
        if (isEnded || !content.isReadable) return
        receivedBytes += content.readableBytes()
        if (receivedBytes > maxBytes) return reject(RefusalReason.BodyTooLarge)
        receivedNanos = System.nanoTime()
        val buffered = buffer
        if (buffered == null) join(content) else buffer(content, buffered)
    }

    private fun buffer(content: ByteBuf, buffered: BodyBuffer) {
        val growth = buffered.growthFor(content.readableBytes()).toLong()
        val isTooLong = buffered.size + content.readableBytes() > limits.maxBufferedBytes
        when {
            isTooLong || !services.bodyMemory.tryReserve(growth) -> {
                switchToStreaming(buffered)
                join(content)
            }
            !client.hold(growth) -> {
                services.bodyMemory.release(growth)
                reject(RefusalReason.InstanceOverloaded)
            }
            else -> {
                reservedBytes += growth
                buffered.append(content)
            }
        }
    }

    /** Collects small pieces of a streamed body, each of which would be written on its own. */
    private fun join(content: ByteBuf) {
        content.readBytes(joined, content.readableBytes())
        if (joined.size() >= JOINED_PIECE_BYTES) passOn()
    }

    /** Passes on what was received of a streamed body. */
    fun passOn() {
        val pieces = joined.takeIf { it.size() > 0 && !isEnded } ?: return
        stream?.offer(pieces.toByteArray())
        pieces.reset()
    }

    /** Continues a body that outgrew the buffer or the memory for buffers as a stream. */
    private fun switchToStreaming(buffered: BodyBuffer) {
        buffer = null
        releaseMemory()
        startStreaming(head.contentLength)
        if (buffered.size > 0) stream?.offer(buffered.toByteArray())
    }

    /** Called after the last piece of the body. */
    fun end() {
        if (isEnded) return
        if (channel.attr(MalformedBody).get() == true) return reject(RefusalReason.MalformedRequest)
        passOn()
        stopReceiving()
        val buffered = buffer ?: return stream?.end() ?: Unit
        buffer = null
        listener.bodyReady(RequestBody.Buffered(buffered.toByteArray()))
    }

    /** Starts the timer anew for the time that is left; content does not touch it. */
    private fun startTimer() {
        timer?.cancel(false)
        val left = maxOf(timeLeftNanos(System.nanoTime()), 0)
        timer = channel.eventLoop().schedule(::onTimer, left, TimeUnit.NANOSECONDS)
    }

    private fun timeLeftNanos(nowNanos: Long): Long {
        val stallLeft = receivedNanos + limits.stallTimeout.toNanos() - nowNanos
        return if (buffer == null) stallLeft else minOf(stallLeft, deadlineNanos - nowNanos)
    }

    /** While reading is paused because the target is slow, the caller is not at fault. */
    private fun onTimer() {
        if (stream != null && !channel.config().isAutoRead) receivedNanos = System.nanoTime()
        if (timeLeftNanos(System.nanoTime()) > 0) startTimer() else reject(RefusalReason.SlowSender)
    }

    private fun reject(reason: RefusalReason) {
        stopReceiving()
        listener.bodyRejected(reason)
    }

    private fun stopReceiving() {
        isEnded = true
        timer?.cancel(false)
    }

    private fun releaseMemory() {
        services.bodyMemory.release(reservedBytes)
        client.release(reservedBytes)
        reservedBytes = 0
    }

    /** Releases the buffer after the call ended; content that still arrives is ignored. */
    fun cancel() {
        stopReceiving()
        releaseMemory()
        buffer = null
    }
}

/** The time that a caller gives a request, within the settings. */
internal fun CallerServices.timeoutOf(head: RequestHead): Duration =
    minOf(head.timeout ?: settings.defaultTimeout, settings.maxTimeout)
