package org.wisteriahinge.adapters.backend

import io.ktor.util.AttributeKey
import io.netty.channel.Channel
import java.util.concurrent.atomic.AtomicReference
import kotlinx.coroutines.CompletableDeferred
import org.wisteriahinge.core.call.AttemptFailure
import org.wisteriahinge.core.model.Address

/** Key under which a Ktor request carries its [TargetExchange] to the engine. */
internal val TargetExchangeKey = AttributeKey<TargetExchange>("TargetExchange")

/** Where an exchange holds its connection. */
private sealed interface Hold {
    data object Waiting : Hold
    class Connected(val channel: Channel) : Hold
    data object Ended : Hold
}

/** One request and its answer on one connection of a target. */
internal class TargetExchange(val address: Address, val request: BackendRequest) {
    private val hold = AtomicReference<Hold>(Hold.Waiting)

    /** Completed with the connection once the request's head was written to it. */
    val written = CompletableDeferred<Channel>()

    /** Completed with the answer's head, or with an [AttemptFailedException]. */
    val answer = CompletableDeferred<BackendAnswer>()

    /** Takes [channel] over; false when the exchange ended while it waited for a connection. */
    fun connected(channel: Channel): Boolean =
        hold.compareAndSet(Hold.Waiting, Hold.Connected(channel))

    fun fail(failure: AttemptFailure, detail: String) {
        answer.completeExceptionally(AttemptFailedException(failure, detail))
    }

    /** Time ran out: nothing was sent when the exchange still waits for a connection. */
    fun expire() {
        val notSent = hold.compareAndSet(Hold.Waiting, Hold.Ended)
        val failure = if (notSent) AttemptFailure.NotSent else AttemptFailure.TimedOut
        fail(failure, "no answer within ${request.remaining.toMillis()} ms")
    }

    /** The answer was read to its end; the connection serves other exchanges. */
    fun detach() {
        hold.set(Hold.Ended)
    }

    /** Ends the exchange. A connection whose answer was not read to its end is closed. */
    fun abandon() {
        when (val held = hold.getAndSet(Hold.Ended)) {
            Hold.Waiting, Hold.Ended -> Unit
            is Hold.Connected -> held.channel.close()
        }
    }
}
