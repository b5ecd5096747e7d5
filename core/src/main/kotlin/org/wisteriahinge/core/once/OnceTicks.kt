package org.wisteriahinge.core.once

import java.time.Duration
import java.time.Instant

/** Longest time between two checks of deadlines; short against the timeouts in [OnceSettings]. */
private val MAX_TICK_INTERVAL: Duration = Duration.ofMillis(50)

/** How long the `once` duty may wait for an event before it decides on [OnceEvent.Ticked]. */
public fun OnceState.timeUntilNextTick(now: Instant): Duration {
    if (inFlight != null || pending.isEmpty()) return MAX_TICK_INTERVAL
    val untilAppend = Duration.between(now, nextAppendAt)
    return untilAppend.coerceIn(Duration.ofMillis(1), MAX_TICK_INTERVAL)
}
