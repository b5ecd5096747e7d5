package org.wisteriahinge.adapters.clients

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelDuplexHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.util.ReferenceCountUtil
import java.util.ArrayDeque
import org.wisteriahinge.core.clients.ClientActivity

/** Bytes of heads that are decoded at a time; a few short requests sent ahead at most. */
private const val HEAD_SLICE_BYTES = 1_024

/** The same for bodies, which may end within a slice. */
private const val BODY_SLICE_BYTES = 4 * 1_024

private const val LINE_FEED = '\n'.code.toByte()

/** What a header field takes in memory besides its bytes. */
private const val FIELD_BYTES = 300L

/** User event: the head of a request does not fit into the memory for clients. */
internal data object HeadNotHeld

/**
 * Passes received bytes to the decoder in slices, and keeps them undecoded while a request is
 * served, the client does not read its answers or the body is not taken. Decoded objects take many
 * times the memory of the bytes.
 *
 * Accounts for the bytes that it keeps and for heads. Placed before all other handlers.
 */
internal class ReadGate(private val client: TrackedClient) : ChannelDuplexHandler() {
    private val kept = ArrayDeque<ByteBuf>()
    private var keptBytes = 0L
    private var isPassing = false
    private var hasPausedReading = false
    private var isRefused = false

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        client.progressed()
        if (isRefused) {
            ReferenceCountUtil.release(message)
        } else {
            kept.add(message as ByteBuf)
            pass(context)
        }
    }

    override fun read(context: ChannelHandlerContext) {
        resume(context)
        if (kept.isEmpty()) context.read()
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        client.progressed()
        context.fireChannelWritabilityChanged()
        resume(context)
    }

    /** Goes on after the answer to a request was written. */
    fun resume(context: ChannelHandlerContext) {
        if (isPassing || kept.isEmpty()) return
        pass(context)
        context.fireChannelReadComplete()
    }

    private fun pass(context: ChannelHandlerContext) {
        if (isPassing) return
        isPassing = true
        try {
            while (kept.isNotEmpty() && isOpen(context)) passSlice(context)
        } finally {
            isPassing = false
        }
        adjustReading(context)
    }

    private fun isOpen(context: ChannelHandlerContext): Boolean {
        val channel = context.channel()
        return channel.isActive && channel.isWritable && !client.isBusy &&
            (channel.config().isAutoRead || hasPausedReading)
    }

    private fun passSlice(context: ChannelHandlerContext) {
        val isHead = !client.isReceivingBody
        val size = if (isHead) HEAD_SLICE_BYTES else BODY_SLICE_BYTES
        val first = kept.peek()
        val slice = if (first.readableBytes() <=
            size
        ) {
            kept.poll()
        } else {
            first.readRetainedSlice(size)
        }
        if (isHead && !client.holdHead(costOf(slice))) {
            slice.release()
            refuse(context)
        } else {
            if (isHead) client.activity = ClientActivity.Receiving
            context.fireChannelRead(slice)
        }
    }

    private fun costOf(head: ByteBuf): Long {
        var fields = 0L
        head.forEachByte { byte ->
            if (byte == LINE_FEED) fields++
            true
        }
        return head.readableBytes() + fields * FIELD_BYTES
    }

    private fun refuse(context: ChannelHandlerContext) {
        isRefused = true
        discard()
        context.fireUserEventTriggered(HeadNotHeld)
    }

    private fun adjustReading(context: ChannelHandlerContext) {
        val config = context.channel().config()
        val bytes = kept.sumOf { it.capacity().toLong() }
        client.holdReceived(bytes - keptBytes)
        keptBytes = bytes
        if (kept.isNotEmpty()) {
            hasPausedReading = hasPausedReading || config.isAutoRead
            config.isAutoRead = false
        } else if (hasPausedReading) {
            hasPausedReading = false
            config.isAutoRead = true
        }
    }

    override fun handlerRemoved(context: ChannelHandlerContext) = discard()

    private fun discard() {
        kept.forEach { it.release() }
        kept.clear()
    }
}
