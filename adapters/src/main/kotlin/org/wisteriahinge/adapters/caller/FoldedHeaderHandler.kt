package org.wisteriahinge.adapters.caller

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.util.ReferenceCountUtil

/** User event: a header line of a request begins with a space or tab (obsolete line folding). */
internal data object FoldedHeader

private const val LINE_FEED = '\n'.code.toByte()
private const val CARRIAGE_RETURN = '\r'.code.toByte()
private const val SPACE = ' '.code.toByte()
private const val TAB = '\t'.code.toByte()

/**
 * Detects folded header lines, which Netty's decoder would join to the preceding line.
 *
 * Placed before the decoder. Scans the first request of a connection and each request that begins
 * after an answer was written, up to the end of the head.
 */
internal class FoldedHeaderHandler : ChannelInboundHandlerAdapter() {
    private var position: Position = Position.FirstLine

    /** Expects the first line of a request from now on. */
    fun awaitRequest() {
        position = Position.FirstLine
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (message is ByteBuf && position != Position.Body && isFolded(message)) {
            ReferenceCountUtil.release(message)
            position = Position.Body
            context.fireUserEventTriggered(FoldedHeader)
            return
        }
        context.fireChannelRead(message)
    }

    private fun isFolded(bytes: ByteBuf): Boolean {
        var index = bytes.readerIndex()
        while (index < bytes.writerIndex() && position != Position.Body) {
            val next = bytes.getByte(index++)
            val before = position
            if (before == Position.LineStart && (next == SPACE || next == TAB)) return true
            position = before.after(next)
        }
        return false
    }

    private fun Position.after(next: Byte): Position = when (this) {
        Position.FirstLine, Position.InLine ->
            if (next == LINE_FEED) Position.LineStart else this
        Position.LineStart -> when (next) {
            LINE_FEED -> Position.Body
            CARRIAGE_RETURN -> Position.LineStart
            else -> Position.InLine
        }
        Position.Body -> Position.Body
    }

    private sealed interface Position {
        /** In the request line. */
        data object FirstLine : Position

        /** Before the first byte of a header line. */
        data object LineStart : Position

        data object InLine : Position

        /** After the empty line. */
        data object Body : Position
    }
}
