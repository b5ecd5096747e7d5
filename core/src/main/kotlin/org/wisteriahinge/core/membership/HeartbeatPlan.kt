package org.wisteriahinge.core.membership

import java.time.Duration

/** Size of a heartbeat without loads and notices, as encoded and authenticated. */
public const val HEARTBEAT_BASE_BYTES: Int = 110

/** Size that one target's load or one quarantine notice adds to a heartbeat. */
public const val HEARTBEAT_ENTRY_BYTES: Int = 32

/** Smallest number of peers that hear a heartbeat, so that news spreads within a few periods. */
private const val MIN_FANOUT = 3

/**
 * How heartbeats spend the control budget.
 *
 * Each period, [fanout] peers get a heartbeat with up to [entries] loads and notices. A peer
 * hears from each instance once in [perPeerInterval].
 */
public data class HeartbeatPlan(val fanout: Int, val entries: Int, val perPeerInterval: Duration)

/** Plans heartbeats to [peers] peers within [budgetBytesPerSecond] at one period each [period]. */
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
