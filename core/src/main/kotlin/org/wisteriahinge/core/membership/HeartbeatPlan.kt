package org.wisteriahinge.core.membership

import java.time.Duration

/** Size of an encoded and authenticated heartbeat without loads and notices. */
public const val HEARTBEAT_BASE_BYTES: Int = 110

/** Size that the load of a target or a quarantine notice adds to a heartbeat. */
public const val HEARTBEAT_ENTRY_BYTES: Int = 32

/** Smallest number of recipients of a heartbeat; spreads updates within a few periods. */
private const val MIN_FANOUT = 3

/**
 * The distribution of heartbeats that keeps their traffic within the budget.
 *
 * Each period, [fanout] peers get a heartbeat with up to [entries] loads and notices. Each peer
 * gets one heartbeat of this instance in [perPeerInterval].
 */
public data class HeartbeatPlan(val fanout: Int, val entries: Int, val perPeerInterval: Duration)

/**
 * Plans the heartbeats that are sent each [period] to some of [peers] peers.
 *
 * [budgetBytesPerSecond] is exceeded only if it is too small for the smallest fanout.
 */
public fun planHeartbeats(peers: Int, budgetBytesPerSecond: Int, period: Duration): HeartbeatPlan {
    val budgetBytes = budgetBytesPerSecond * period.toMillis() / 1_000
    val affordable = (budgetBytes / HEARTBEAT_BASE_BYTES).toInt()
    val fanout = affordable.coerceAtLeast(MIN_FANOUT).coerceAtMost(peers)
    if (fanout == 0) return HeartbeatPlan(0, 0, period)
    val spareBytes = budgetBytes / fanout - HEARTBEAT_BASE_BYTES
    val rounds = (peers + fanout - 1) / fanout
    return HeartbeatPlan(
        fanout = fanout,
        entries = (spareBytes / HEARTBEAT_ENTRY_BYTES).toInt().coerceAtLeast(0),
        perPeerInterval = period.multipliedBy(rounds.toLong())
    )
}
