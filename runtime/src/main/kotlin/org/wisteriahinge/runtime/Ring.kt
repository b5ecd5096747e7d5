package org.wisteriahinge.runtime

import java.time.Clock
import java.time.Duration
import java.time.Instant
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.TimeUnit

private val MAX_WAIT: Duration = Duration.ofDays(1)

/**
 * A bounded queue with many producers and one consumer.
 *
 * Producers never block: [offer] returns [Offer.Full] when the ring is full. The consumer blocks in
 * [take] and does not spin. The last [reserved] slots are only for [offerReserved], so that
 * accepted work can still report its end when the ring is full for new work:
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

    /** The number of waiting messages. */
    public val size: Int get() = queue.size

    /** Adds [message] unless only reserved slots are free. */
    public fun offer(message: T): Offer =
        if (queue.remainingCapacity() > reserved && queue.offer(message)) {
            Offer.Accepted
        } else {
            Offer.Full
        }

    /** Adds [message], in a reserved slot if necessary. */
    public fun offerReserved(message: T): Offer =
        if (queue.offer(message)) Offer.Accepted else Offer.Full

    /** Waits up to [timeout] for a message; returns null if there is none. */
    public fun take(timeout: Duration): T? = queue.poll(timeout.toNanos(), TimeUnit.NANOSECONDS)

    /** Waits for a message until [time] at [clock]; returns null if there is none by then. */
    public fun takeUntil(time: Instant, clock: Clock): T? {
        val now = clock.instant()
        // A longer wait does not fit in the nanoseconds of the timeout.
        val wait = Duration.between(now, minOf(time, now + MAX_WAIT))
        return if (wait.isNegative) null else take(wait)
    }

    /** Waits for a message. */
    public fun take(): T = queue.take()
}

/** The result of [Ring.offer] and [Ring.offerReserved]. */
public sealed interface Offer {
    /** The message was added. */
    public data object Accepted : Offer

    /** The message was not added; the producer decides what to do. */
    public data object Full : Offer
}
