package org.wisteriahinge.runtime

private const val PAUSE_MILLIS = 5L

/** Waits until the ring has room for [message]; only for producers that own this wait. */
public fun <T : Any> Ring<T>.offerWithBackpressure(message: T) {
    while (offer(message) == Offer.Full) Thread.sleep(PAUSE_MILLIS)
}
