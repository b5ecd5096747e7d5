package org.wisteriahinge.adapters.caller

import java.util.concurrent.Semaphore
import java.util.concurrent.atomic.AtomicLong
import org.wisteriahinge.core.call.CallEvent
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.runtime.CallMessage
import org.wisteriahinge.runtime.CallPort
import org.wisteriahinge.runtime.Offer
import org.wisteriahinge.runtime.Ring

/**
 * Hands the events of callers' requests to the `calls` duty.
 *
 * At most [maxCalls] calls are in progress, and each has at most [MESSAGES_PER_CALL] events
 * waiting, so the reserved places of [inbox] suffice for the events of accepted calls.
 */
public class CallGateway(private val inbox: Ring<CallMessage>, maxCalls: Int) {
    private val places = Semaphore(maxCalls)
    private val lastCallId = AtomicLong()

    /** A new id for a call. */
    public fun nextCallId(): CallId = CallId(lastCallId.incrementAndGet())

    /** Announces a call; [Offer.Full] when the instance has no room for it. */
    public fun arrive(event: CallEvent.Arrived, port: CallPort): Offer {
        if (!places.tryAcquire()) return Offer.Full
        val offer = inbox.offer(CallMessage(event, port))
        if (offer == Offer.Full) places.release()
        return offer
    }

    /** Reports a later event of an accepted call. */
    public fun report(event: CallEvent) {
        check(inbox.offerReserved(CallMessage(event)) == Offer.Accepted) {
            "ring ${inbox.name} has no reserved place for $event; raise its reserved capacity"
        }
    }

    /** The call's exchange ended; its place serves another call. */
    public fun leave() {
        places.release()
    }

    public companion object {
        /**
         * An arrival, two events for each of two parallel attempts, a captured answer, and the
         * caller's leaving.
         */
        public const val MESSAGES_PER_CALL: Int = 7
    }
}
