package org.wisteriahinge.adapters.caller

import java.util.concurrent.Semaphore
import java.util.concurrent.atomic.AtomicBoolean
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
public class CallGateway(private val inbox: Ring<CallMessage>, private val maxCalls: Int) {
    private val permits = Semaphore(maxCalls)
    private val draining = AtomicBoolean()
    private val leaving = AtomicBoolean()
    private val lastCallId = AtomicLong()

    /** A new id for a call. */
    public fun nextCallId(): CallId = CallId(lastCallId.incrementAndGet())

    /** Whether new calls are refused because the instance is stopping. */
    public val isDraining: Boolean get() = draining.get()

    /** Whether callers are to use other connections, because the instance is leaving. */
    public val isLeaving: Boolean get() = leaving.get()

    /** Calls between their arrival and the end of their answer. */
    public val callsInProgress: Int get() = maxCalls - permits.availablePermits()

    /** Announces a call, or says why the instance does not take it. */
    public fun submit(event: CallEvent.Arrived, port: CallPort): ArrivalResult {
        if (!permits.tryAcquire()) return ArrivalResult.Full
        // The place is taken before the check, so that a stop sees this call or refuses it.
        val result = when {
            isDraining -> ArrivalResult.Draining
            inbox.offer(CallMessage(event, port)) == Offer.Full -> ArrivalResult.Full
            else -> return ArrivalResult.Accepted
        }
        permits.release()
        return result
    }

    /** Asks callers to close their connections after each answer. */
    public fun announceLeaving() {
        leaving.set(true)
    }

    /** Refuses calls from now on; calls in progress go on. */
    public fun drain() {
        leaving.set(true)
        draining.set(true)
    }

    /** Reports a later event of an accepted call. */
    public fun report(event: CallEvent) {
        check(inbox.offerReserved(CallMessage(event)) == Offer.Accepted) {
            "ring ${inbox.name} has no reserved place for $event; raise its reserved capacity"
        }
    }

    /** The call's exchange ended; its place serves another call. */
    public fun releaseCall() {
        permits.release()
    }

    public companion object {
        /**
         * An arrival, two events for each of two parallel attempts, a captured answer, and the
         * caller's leaving.
         */
        public const val MESSAGES_PER_CALL: Int = 7
    }
}

/** What became of an arriving call. */
public sealed interface ArrivalResult {
    /** The `calls` duty decides on it. */
    public data object Accepted : ArrivalResult

    /** The instance has no room for it. */
    public data object Full : ArrivalResult

    /** The instance is stopping. */
    public data object Draining : ArrivalResult
}
