package org.wisteriahinge.core.watch

import java.time.Duration
import java.util.SplittableRandom

/** Share of the bound between the starts of two reads of the topic by one reader. */
private const val READ_PERIOD_SHARE = 0.5

/** Relays read the topic before their followers do, so that these need not. */
private const val RELAY_TAKEOVER_SHARE = 0.6

/** Followers read the topic at different ages between these, so that the store is not flooded. */
private const val EARLIEST_TAKEOVER_SHARE = 0.66
private const val LATEST_TAKEOVER_SHARE = 0.72

/**
 * Longest wait for an answer of the store. A machine that was cut off must have read its topics
 * again within 3 s, and a read that began before gets no answer and must time out first.
 */
private val MAX_READ_TIMEOUT: Duration = Duration.ofMillis(700)

/**
 * Divides the [bound], the time in which an instance must know a change of a topic, among the steps
 * on the way of the change.
 *
 * The records of an instance are current as of some moment, and their age counts from it. A reader
 * of the topic renews them every [readPeriod]. An instance that reads a relay reads the topic
 * itself at the age of its takeover, whatever the relay does; what remains of the bound is for
 * that read.
 */
public data class FreshnessBudget(val bound: Duration) {
    /** The time between the starts of two reads of the topic. */
    public val readPeriod: Duration get() = bound.share(READ_PERIOD_SHARE)

    /** The age at which a relay reads the topic itself. */
    public val relayTakeover: Duration get() = bound.share(RELAY_TAKEOVER_SHARE)

    /** The age beyond which records are of no use to a follower. */
    public val latestTakeover: Duration get() = bound.share(LATEST_TAKEOVER_SHARE)

    /** Time for the answer to a read of the topic, beyond the time that the read may wait. */
    public val readTimeout: Duration get() = minOf(bound - latestTakeover, MAX_READ_TIMEOUT)

    /** The age at which the follower with [seed] reads the topic itself. */
    public fun followerTakeover(seed: Long): Duration {
        val spread = LATEST_TAKEOVER_SHARE - EARLIEST_TAKEOVER_SHARE
        return bound.share(EARLIEST_TAKEOVER_SHARE + spread * SplittableRandom(seed).nextDouble())
    }

    private fun Duration.share(part: Double): Duration =
        Duration.ofNanos((toNanos() * part).toLong())
}
