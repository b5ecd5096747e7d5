package org.wisteriahinge.runtime

import java.time.Duration
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.TimeUnit

/**
 * A bounded ring with many producers and one consumer.
 *
 * Producers never wait: [offer] refuses when the ring is full. The consumer blocks in [take] and
 * does not spin. The last [reserved] places serve only [offerReserved], so that work which was
 * accepted can always report its end:
 *
 * ```
 * val ring = Ring<Message>("calls", capacity = 8_192, reserved = 6_144)
 * when (ring.offer(arrival)) {
 *     Offer.Accepted -> Unit
 *     Offer.Full -> refuse()
 * }
 * ```
 */
public class Ring<T : Any>(
    public val name: String,
    public val capacity: Int,
    private val reserved: Int = 0
) {
    private val queue = ArrayBlockingQueue<T>(capacity)

    /** Messages waiting. */
    public val size: Int get() = queue.size

    /** Adds [message] unless only reserved places are free. */
    public fun offer(message: T): Offer =
        if (queue.remainingCapacity() > reserved && queue.offer(message)) {
            Offer.Accepted
        } else {
            Offer.Full
        }

    /** Adds [message], using a reserved place if need be. */
    public fun offerReserved(message: T): Offer =
        if (queue.offer(message)) Offer.Accepted else Offer.Full

    /** Waits for a message for at most [timeout]; null when none came. */
    public fun take(timeout: Duration): T? = queue.poll(timeout.toNanos(), TimeUnit.NANOSECONDS)

    /** Waits for a message. */
    public fun take(): T = queue.take()
}

/** The outcome of offering a message to a [Ring]. */
public sealed interface Offer {
    /** The consumer will see the message. */
    public data object Accepted : Offer

    /** The ring is full; the message was not added and the producer decides what to do. */
    public data object Full : Offer
}
