package org.wisteriahinge.adapters.caller

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.channel.Channel
import io.netty.util.AttributeKey
import java.io.ByteArrayOutputStream
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit
import org.wisteriahinge.adapters.backend.BodyFeed
import org.wisteriahinge.adapters.backend.RequestBody
import org.wisteriahinge.core.model.RefusalReason

/** Set on a connection whose request body has invalid framing. */
internal val MalformedBody: AttributeKey<Boolean> =
    AttributeKey.valueOf("malformed-body")

private const val FIRST_PIECE_BYTES = 4 * 1_024

/** What becomes of a body that is being received. */
internal interface BodyListener {
    /** The request can go on with [body], which may still be arriving. */
    fun ready(body: RequestBody)

    /** The caller did not send the body as announced. */
    fun faulty(reason: RefusalReason)
}

/**
 * Receives the body of one request, which is kept in memory or passed on while it arrives.
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
    private val reservedBytes = head.contentLength ?: limits.bufferedBytes.toLong()
    private var receivedBytes = 0L
    private var collected: ByteArrayOutputStream? = null
    private var feed: BodyFeed? = null
    private var heldBytes = 0L
    private var stallTimer: Future<*>? = null

    /** Whether nothing more of the body is to come. */
    var isEnded = false
        private set

    /** Decides how the body is kept. Called once, after the head. */
    fun start() {
        when {
            !head.hasBody -> listener.ready(RequestBody.None)
            reservedBytes > maxBytes -> fault(RefusalReason.BodyTooLarge)
            reservedBytes > limits.bufferedBytes || !services.bodyMemory.take(reservedBytes) ->
                stream(head.contentLength)
            else -> {
                heldBytes = reservedBytes
                collected = ByteArrayOutputStream(head.contentLength?.toInt() ?: FIRST_PIECE_BYTES)
                awaitMore()
            }
        }
    }

    private fun stream(lengthBytes: Long?) {
        val started = BodyFeed { more -> channel.config().isAutoRead = more }
        feed = started
        awaitMore()
        listener.ready(RequestBody.Once(lengthBytes, started))
    }

    fun receive(content: ByteBuf) {
        if (isEnded || !content.isReadable) return
        receivedBytes += content.readableBytes()
        if (receivedBytes > maxBytes) return fault(RefusalReason.BodyTooLarge)
        awaitMore()
        val kept = collected ?: return feed?.offer(ByteBufUtil.getBytes(content)) ?: Unit
        content.readBytes(kept, content.readableBytes())
        if (kept.size() > limits.bufferedBytes) passOn(kept)
    }

    /** A body without a declared length is longer than what is kept. */
    private fun passOn(kept: ByteArrayOutputStream) {
        collected = null
        release()
        stream(null)
        feed?.offer(kept.toByteArray())
    }

    /** The last piece was received. */
    fun end() {
        if (isEnded) return
        if (channel.attr(MalformedBody).get() == true) return fault(RefusalReason.MalformedRequest)
        finish()
        val kept = collected ?: return feed?.end() ?: Unit
        listener.ready(RequestBody.Whole(kept.toByteArray()))
    }

    private fun awaitMore() {
        stallTimer?.cancel(false)
        val stallMillis = limits.stall.toMillis()
        stallTimer = channel.eventLoop().schedule(::stalled, stallMillis, TimeUnit.MILLISECONDS)
    }

    /** A pause that the target causes is not the caller's. */
    private fun stalled() {
        if (channel.config().isAutoRead) fault(RefusalReason.SlowSender) else awaitMore()
    }

    private fun fault(reason: RefusalReason) {
        finish()
        listener.faulty(reason)
    }

    private fun finish() {
        isEnded = true
        stallTimer?.cancel(false)
    }

    private fun release() {
        services.bodyMemory.giveBack(heldBytes)
        heldBytes = 0
    }

    /** The call ended; what may still arrive is of no use. */
    fun cancel() {
        finish()
        release()
    }
}
