package org.wisteriahinge.adapters.caller

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import java.time.Duration
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit
import org.wisteriahinge.core.model.RequestLimits

/** Fired when the head of a request did not arrive in time. */
internal data object HeadTimedOut

/** Fired to close the connection as soon as no request is in progress on it. */
internal data object CloseIdle

/**
 * Bounds the time from the first byte of a request to the end of its head, and the time that a
 * connection stays open without a request. Sits before the decoder.
 *
 * One timer runs for each phase, so that an idle connection causes no wake-ups until its end.
 */
internal class HeadTimeoutHandler(private val bounds: () -> RequestLimits) :
    ChannelInboundHandlerAdapter() {
    private var phase: Phase = Phase.Idle
    private var timer: Future<*>? = null
    private var closeIdle = false
    private var context: ChannelHandlerContext? = null

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
        startTimer(bounds().idleTimeout)
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (phase == Phase.Idle) phase = Phase.HeadBegun
        context.fireChannelRead(message)
    }

    override fun channelReadComplete(context: ChannelHandlerContext) {
        if (phase == Phase.HeadBegun) {
            phase = Phase.Head
            startTimer(bounds().headTimeout)
        }
        context.fireChannelReadComplete()
    }

    /** The head of a request is complete; its body and its answer have limits of their own. */
    fun headComplete() {
        phase = Phase.Busy
        timer?.cancel(false)
    }

    /** The answer was written; the next request may follow. */
    fun awaitRequest() {
        phase = Phase.Idle
        if (closeIdle) {
            context?.close()
        } else {
            startTimer(bounds().idleTimeout)
        }
    }

    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        if (event != CloseIdle) {
            context.fireUserEventTriggered(event)
            return
        }
        closeIdle = true
        if (phase == Phase.Idle) context.close()
    }

    private fun startTimer(limit: Duration) {
        timer?.cancel(false)
        val current = context ?: return
        timer = current.executor()
            .schedule({ expired(current) }, limit.toMillis(), TimeUnit.MILLISECONDS)
    }

    private fun expired(context: ChannelHandlerContext) {
        when (phase) {
            Phase.Idle -> context.close()
            Phase.HeadBegun, Phase.Head -> context.fireUserEventTriggered(HeadTimedOut)
            Phase.Busy -> Unit
        }
    }

    override fun handlerRemoved(context: ChannelHandlerContext) {
        timer?.cancel(false)
    }

    private sealed interface Phase {
        data object Idle : Phase

        /** The first bytes of a head are being decoded. */
        data object HeadBegun : Phase

        /** A part of a head arrived. */
        data object Head : Phase
        data object Busy : Phase
    }
}
