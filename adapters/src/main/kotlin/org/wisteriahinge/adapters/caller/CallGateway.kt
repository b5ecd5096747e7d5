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
 * Passes the events of calls to the `calls` duty and limits the calls in progress to [maxCalls].
 *
 * Each call has at most [MESSAGES_PER_CALL] events in [inbox] at a time. With a reserved capacity
 * of `maxCalls * MESSAGES_PER_CALL`, the events of accepted calls always find a place.
 */
public class CallGateway(private val inbox: Ring<CallMessage>, private val maxCalls: Int) {
    private val permits = Semaphore(maxCalls)
    private val draining = AtomicBoolean()
    private val leaving = AtomicBoolean()
    private val lastCallId = AtomicLong()

    /** Returns an id that no other call of this instance has. */
    public fun nextCallId(): CallId = CallId(lastCallId.incrementAndGet())

    /** Whether new calls are refused because the instance is stopping. */
    public val isDraining: Boolean get() = draining.get()

    /** Whether callers' connections are closed after each answer, because the instance leaves. */
    public val isLeaving: Boolean get() = leaving.get()

    /** Number of calls that were accepted and not released yet. */
    public val callsInProgress: Int get() = maxCalls - permits.availablePermits()

    /** Submits a new call, or returns why the instance does not accept it. */
    public fun submit(event: CallEvent.Arrived, port: CallPort): ArrivalResult {
        if (!permits.tryAcquire()) return ArrivalResult.Full
        // Acquired before the check of isDraining: a concurrent drain either counts this call in
        // callsInProgress or makes it be refused.
        val result = when {
            isDraining -> ArrivalResult.Draining
            inbox.offer(CallMessage(event, port)) == Offer.Full -> ArrivalResult.Full
            else -> return ArrivalResult.Accepted
        }
        permits.release()
        return result
    }

    /** Sends `Connection: close` with each answer from now on. */
    public fun announceLeaving() {
        leaving.set(true)
    }

    /** Refuses new calls from now on; calls in progress continue. */
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

    /** Frees the place of a call whose exchange ended. */
    public fun releaseCall() {
        permits.release()
    }

    public companion object {
        /**
         * The arrival, two events for each of two parallel attempts, the captured answer, and the
         * disconnection of the caller.
         */
        public const val MESSAGES_PER_CALL: Int = 7
    }
}

/** Whether a submitted call was accepted. */
public sealed interface ArrivalResult {
    /** The call was passed to the `calls` duty. */
    public data object Accepted : ArrivalResult

    /** Too many calls are in progress, or the ring is full. */
    public data object Full : ArrivalResult

    /** The instance is stopping. */
    public data object Draining : ArrivalResult
}
