package org.wisteriahinge.adapters.backend

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.util.ReferenceCountUtil

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

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        handler.isAnsweringHead || super.isContentAlwaysEmpty(message)
}
