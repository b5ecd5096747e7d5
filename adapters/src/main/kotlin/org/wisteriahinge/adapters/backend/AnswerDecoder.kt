package org.wisteriahinge.adapters.backend

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.util.ReferenceCountUtil

/** HTTP/1 with any minor version, which all have the same framing. */
private val PROTOCOL = Regex("""HTTP/1\.\d""")
private val STATUS_CODE = Regex("[1-5][0-9]{2}")

/**
 * Decodes the answers on a connection whose requests [handler] sends.
 *
 * Bytes that arrive while no request is outstanding belong to no answer. They close the connection,
 * because a part of a line would otherwise become the beginning of the next answer.
 */
internal class AnswerDecoder(private val handler: TargetConnectionHandler) :
    HttpResponseDecoder() {
    /** Whether bytes were received that are not decoded yet. */
    val hasUnreadBytes: Boolean get() = actualReadableBytes() > 0

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (handler.isIdle) {
            ReferenceCountUtil.release(message)
            context.close()
        } else {
            super.channelRead(context, message)
        }
    }

    /** The decoder ends an answer without a length when it handles [event]. */
    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        if (event is ChannelInputShutdownEvent) handler.markInputEnded()
        super.userEventTriggered(context, event)
    }

    /** The parts of [statusLine] are the protocol, the status code and the reason. */
    override fun createMessage(statusLine: Array<String>): HttpMessage {
        require(PROTOCOL.matches(statusLine[0])) { "the answer is not in HTTP/1" }
        require(STATUS_CODE.matches(statusLine[1])) { "HTTP does not define the status code" }
        return super.createMessage(statusLine)
    }

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        handler.isAnsweringHead || super.isContentAlwaysEmpty(message)
}
