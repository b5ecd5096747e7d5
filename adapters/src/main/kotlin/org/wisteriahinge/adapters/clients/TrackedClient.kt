package org.wisteriahinge.adapters.clients

import io.netty.channel.Channel
import java.util.concurrent.TimeUnit
import org.wisteriahinge.core.clients.ClientActivity
import org.wisteriahinge.core.clients.ClientAddress
import org.wisteriahinge.core.clients.ClientClosing
import org.wisteriahinge.core.clients.ClientId
import org.wisteriahinge.core.clients.ClientState

/** A client's connection in a [ClientRegistry]. Used on the I/O thread only. */
internal class TrackedClient(
    val id: ClientId,
    val address: ClientAddress,
    private val channel: Channel,
    private val registry: ClientRegistry
) {
    private var progressNanos = System.nanoTime()
    private var unreadAnswerBytes = 0L
    private var headBytes = 0L
    private var isReadingAwaited = false

    /** Changed by the registry only. */
    var heldBytes: Long = 0

    /** Whether the connection was closed or left the registry; it holds nothing then. */
    var isEvicted = false

    /** What the connection is doing, apart from answers that were not read. */
    var activity: ClientActivity = ClientActivity.New

    /** Whether the head of a request was received and a part of its body was not. */
    var isReceivingBody = false

    /** Whether a whole request was received and its answer is not complete. */
    var isBusy = false

    val state: ClientState
        get() = ClientState(id, currentActivity, heldBytes, progressNanos)

    private val currentActivity: ClientActivity
        get() = if (unreadAnswerBytes > 0) ClientActivity.Answering else activity

    fun progressed() {
        progressNanos = System.nanoTime()
    }

    /** Accounts for [bytes]; false if they do not fit, so that the request has to be refused. */
    fun hold(bytes: Long): Boolean = registry.hold(this, bytes)

    fun release(bytes: Long) {
        if (!isEvicted) registry.add(this, -bytes)
    }

    /** Accounts for [bytes] that were received already, and makes room for them if possible. */
    fun holdReceived(bytes: Long) {
        if (bytes <= 0 || !hold(bytes)) registry.add(this, bytes)
    }

    /** Accounts for [bytes] of the head of a request, until [requestEnded]. */
    fun holdHead(bytes: Long): Boolean = hold(bytes).also { if (it) headBytes += bytes }

    /** Accounts for [bytes] of an answer until [answerRead]. */
    fun answerWritten(bytes: Int) {
        unreadAnswerBytes += bytes
        registry.add(this, bytes.toLong())
    }

    /** Accounts for an answer that [answerRead] releases; false if it does not fit. */
    fun holdAnswer(bytes: Int): Boolean =
        hold(bytes.toLong()).also { if (it) unreadAnswerBytes += bytes }

    fun answerRead(bytes: Int) {
        unreadAnswerBytes -= bytes
        release(bytes.toLong())
        progressed()
    }

    /** Closes the connection if the client takes nothing of its answer for too long. */
    fun awaitReading() {
        if (isReadingAwaited) return
        isReadingAwaited = true
        scheduleCheck(registry.answerReadTimeout.toNanos())
    }

    private fun scheduleCheck(delayNanos: Long) {
        channel.eventLoop().schedule(::checkReading, delayNanos, TimeUnit.NANOSECONDS)
    }

    private fun checkReading() {
        isReadingAwaited = unreadAnswerBytes > 0 && channel.isActive
        if (!isReadingAwaited) return
        val leftNanos = progressNanos + registry.answerReadTimeout.toNanos() - System.nanoTime()
        if (leftNanos > 0) {
            scheduleCheck(leftNanos)
        } else {
            registry.closed(this, ClientClosing.AnswerNotRead)
            channel.close()
        }
    }

    /** Releases the head of the request that was answered; another one may follow. */
    fun requestEnded() {
        release(headBytes)
        headBytes = 0
        isBusy = false
        isReceivingBody = false
        activity = ClientActivity.Idle
    }

    fun evict() {
        channel.pipeline().fireUserEventTriggered(ClientEvicted)
        channel.close()
    }
}
