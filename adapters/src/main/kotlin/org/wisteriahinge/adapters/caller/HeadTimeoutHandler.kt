package org.wisteriahinge.adapters.caller

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import java.time.Duration
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit
import org.wisteriahinge.core.model.RequestLimits

/** User event: the head of a request did not arrive within the head timeout. */
internal data object HeadTimedOut

/** User event: close the connection as soon as no request is in progress on it. */
internal data object CloseIdle

/**
 * Limits the time from the first byte of a request to the end of its head, and the time for which
 * a connection stays open without a request. Placed before the decoder.
 *
 * Schedules one timer per phase, so that an idle connection causes no wake-ups until it expires.
 */
internal class HeadTimeoutHandler(private val bounds: () -> RequestLimits) :
    ChannelInboundHandlerAdapter() {
    private var phase: Phase = Phase.Idle
    private var timer: Future<*>? = null
    private var closeIdle = false
    private var context: ChannelHandlerContext? = null

    /** Whether a part of a head was received. */
    val isReceivingHead: Boolean get() = phase == Phase.Head || phase == Phase.HeadBegun

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

    /** Stops the timer after the head of a request; body and answer have their own timeouts. */
    fun headComplete() {
        phase = Phase.Busy
        timer?.cancel(false)
    }

    /** Starts the idle timer after the answer was written, or closes the connection. */
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
        /** No request is in progress. */
        data object Idle : Phase

        /** The first bytes of a request were read; the timer starts when the read completes. */
        data object HeadBegun : Phase

        /** Part of a head was received; the head timer is running. */
        data object Head : Phase

        /** A whole head was received and its answer is not complete. */
        data object Busy : Phase
    }
}
