package org.wisteriahinge.adapters.backend

import io.netty.channel.Channel
import io.netty.channel.EventLoop
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit
import org.wisteriahinge.core.call.AttemptFailure
import org.wisteriahinge.core.model.Address

/** Where an exchange holds its connection. */
private sealed interface Hold {
    data object Waiting : Hold
    class Connected(val channel: Channel) : Hold
    data object Ended : Hold
}

/** One request and its answer on one connection of a target. Used on the I/O thread only. */
internal class TargetExchange(
    val address: Address,
    val request: BackendRequest,
    private val observer: AnswerObserver
) : AnswerObserver {
    private var hold: Hold = Hold.Waiting
    private var timer: Future<*>? = null

    /** Whether the observer was told of an answer or a failure. */
    private var isSettled = false
    private var isAbandoned = false

    fun startTimer(loop: EventLoop) {
        val limitMillis = request.remaining.toMillis()
        timer = loop.schedule(::expire, limitMillis, TimeUnit.MILLISECONDS)
    }

    /** Takes [channel] over; false when the exchange ended while it waited for a connection. */
    fun connected(channel: Channel): Boolean {
        if (hold != Hold.Waiting) return false
        hold = Hold.Connected(channel)
        return true
    }

    /** The connection proved dead before an answer; the exchange waits for another one. */
    fun waitAgain() {
        if (hold is Hold.Connected) hold = Hold.Waiting
    }

    override fun answered(answer: BackendAnswer) {
        if (settle()) observer.answered(answer)
    }

    override fun failed(failure: AttemptFailure, detail: String) {
        if (settle()) observer.failed(failure, detail)
    }

    override fun received(piece: ByteArray) {
        if (!isAbandoned) observer.received(piece)
    }

    override fun completed() {
        if (!isAbandoned) observer.completed()
    }

    override fun truncated(detail: String) {
        if (!isAbandoned) observer.truncated(detail)
    }

    private fun settle(): Boolean {
        if (isSettled) return false
        isSettled = true
        timer?.cancel(false)
        return true
    }

    /** Time ran out: nothing was sent when the exchange still waits for a connection. */
    private fun expire() {
        val failure = if (hold == Hold.Waiting) AttemptFailure.NotSent else AttemptFailure.TimedOut
        failed(failure, "no answer within ${request.remaining.toMillis()} ms")
        abandon()
    }

    /** The answer was read to its end; the connection serves other exchanges. */
    fun detach() {
        hold = Hold.Ended
    }

    /** Ends the exchange. A connection whose answer was not read to its end is closed. */
    fun abandon() {
        timer?.cancel(false)
        isSettled = true
        isAbandoned = true
        val held = hold
        hold = Hold.Ended
        when (held) {
            Hold.Waiting, Hold.Ended -> Unit
            is Hold.Connected -> held.channel.close()
        }
    }
}
