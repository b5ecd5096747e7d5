package org.wisteriahinge.runtime

import java.time.Duration

private val RETRY_PAUSE: Duration = Duration.ofMillis(20)

/**
 * Adds [message], blocking while the ring is full.
 *
 * Only for duties that may fall behind, such as [LogTailDuty]; blocking is their backpressure.
 */
public fun <T : Any> Ring<T>.offerBlocking(message: T) {
    while (offer(message) == Offer.Full) {
        Thread.sleep(RETRY_PAUSE.toMillis())
    }
}
