package org.wisteriahinge.adapters.backend

import io.netty.channel.Channel
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.HttpMethod
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit
import org.wisteriahinge.core.call.AttemptFailure
import org.wisteriahinge.core.model.Address

/** Whether an exchange has a connection. */
private sealed interface ConnectionState {
    data object Waiting : ConnectionState
    class Connected(val channel: Channel) : ConnectionState
    data object Ended : ConnectionState
}

/** One request to a target and its answer. Used on the I/O thread only. */
internal class TargetExchange(
    val address: Address,
    val request: BackendRequest,
    private val observer: AnswerObserver
) : AnswerObserver {
    private var connection: ConnectionState = ConnectionState.Waiting
    private var timer: Future<*>? = null
    private val createdNanos = System.nanoTime()

    /** Whether the answer has no body because of the request's method. */
    val isHead: Boolean get() = request.method == HttpMethod.HEAD.name()

    /** Whether an answer or a failure was reported, or the exchange was abandoned. */
    private var isSettled = false
    private var isAbandoned = false

    fun startTimer(loop: EventLoop) {
        val limitMillis = request.remaining.toMillis()
        timer = loop.schedule(::expire, limitMillis, TimeUnit.MILLISECONDS)
    }

    /** Whether the request waited too long for a connection to be written. */
    val isTooLateToSend: Boolean
        get() = request.maxSendDelay?.let { System.nanoTime() - createdNanos > it.toNanos() } ==
            true

    /** Takes over [channel]; false if the exchange ended while it waited for a connection. */
    fun tryAttach(channel: Channel): Boolean {
        if (connection != ConnectionState.Waiting) return false
        connection = ConnectionState.Connected(channel)
        return true
    }

    /** Drops a connection that was closed before an answer came, and waits for another one. */
    fun awaitNewConnection() {
        if (connection is ConnectionState.Connected) connection = ConnectionState.Waiting
    }

    /** A body without a declared length must end by the timeout, because it may never end. */
    override fun answered(answer: BackendAnswer) {
        if (isSettled) return
        isSettled = true
        val body = answer.body
        if (body !is AnswerBody.Streamed || body.lengthBytes != null) timer?.cancel(false)
        observer.answered(answer)
    }

    override fun failed(failure: AttemptFailure, detail: String) {
        if (settle()) observer.failed(failure, detail)
    }

    override fun received(piece: ByteArray) {
        if (!isAbandoned) observer.received(piece)
    }

    override fun completed() {
        timer?.cancel(false)
        if (!isAbandoned) observer.completed()
    }

    override fun truncated(detail: String) {
        timer?.cancel(false)
        if (!isAbandoned) observer.truncated(detail)
    }

    private fun settle(): Boolean {
        if (isSettled) return false
        isSettled = true
        timer?.cancel(false)
        return true
    }

    /** Fails the exchange on time-out; without a connection, the request was not sent. */
    private fun expire() {
        val limit = "${request.remaining.toMillis()} ms"
        if (isSettled) {
            truncated("no end of the answer within $limit")
            return abandon()
        }
        val failure = if (connection == ConnectionState.Waiting) {
            AttemptFailure.NotSent
        } else {
            AttemptFailure.TimedOut
        }
        failed(failure, "no answer within $limit")
        abandon()
    }

    /** Gives up the connection after the answer was read to its end. */
    fun detach() {
        connection = ConnectionState.Ended
    }

    /** Ends the exchange; closes its connection unless the answer was read to its end. */
    fun abandon() {
        timer?.cancel(false)
        isSettled = true
        isAbandoned = true
        val current = connection
        connection = ConnectionState.Ended
        when (current) {
            ConnectionState.Waiting, ConnectionState.Ended -> Unit
            is ConnectionState.Connected -> current.channel.close()
        }
    }
}
