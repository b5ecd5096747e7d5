package org.wisteriahinge.adapters.caller

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import java.time.Duration
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit

/** Fired when the head of a request did not arrive in time. */
internal data object HeadTimedOut

/** One periodic check replaces a timer a request; a limit is exceeded by at most a quarter. */
private const val CHECKS_PER_LIMIT = 4

/**
 * Bounds the time from the first byte of a request to the end of its head, and the time that a
 * connection stays open without a request. Sits before the decoder.
 */
internal class HeadTimeoutHandler(private val limit: Duration, private val idle: Duration) :
    ChannelInboundHandlerAdapter() {
    private var phase: Phase = Phase.Idle
    private var phaseStartedNanos = System.nanoTime()
    private var check: Future<*>? = null

    override fun handlerAdded(context: ChannelHandlerContext) {
        val periodMillis = minOf(limit, idle).toMillis() / CHECKS_PER_LIMIT
        check = context.executor().scheduleWithFixedDelay(
            { check(context) },
            periodMillis,
            periodMillis,
            TimeUnit.MILLISECONDS
        )
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (phase == Phase.Idle) enter(Phase.Head)
        context.fireChannelRead(message)
    }

    /** The head of a request is complete; its body and its answer have limits of their own. */
    fun headComplete() {
        enter(Phase.Busy)
    }

    /** The answer was written; the next request may follow. */
    fun awaitRequest() {
        enter(Phase.Idle)
    }

    private fun enter(next: Phase) {
        phase = next
        phaseStartedNanos = System.nanoTime()
    }

    private fun check(context: ChannelHandlerContext) {
        val elapsed = Duration.ofNanos(System.nanoTime() - phaseStartedNanos)
        when (phase) {
            Phase.Idle -> if (elapsed > idle) context.close()
            Phase.Head -> if (elapsed > limit) context.fireUserEventTriggered(HeadTimedOut)
            Phase.Busy -> Unit
        }
    }

    override fun handlerRemoved(context: ChannelHandlerContext) {
        check?.cancel(false)
    }

    private sealed interface Phase {
        data object Idle : Phase
        data object Head : Phase
        data object Busy : Phase
    }
}
