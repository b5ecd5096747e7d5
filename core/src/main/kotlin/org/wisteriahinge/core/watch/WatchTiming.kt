package org.wisteriahinge.core.watch

import java.time.Duration

/** Shortest time between the starts of two reads of a relay, which waits for news by itself. */
public val RELAY_PERIOD: Duration = Duration.ofMillis(50)

/**
 * The timing of the reads of a topic.
 *
 * Reads of the topic itself start at least [minPeriod] apart. Such a read waits up to [waitUpTo]
 * for a record, and its answer may take [readTimeout] more. The delay after a failed read starts at
 * [initialBackOff] and doubles with each further one up to [maxBackOff].
 */
public data class WatchTiming(
    val minPeriod: Duration,
    val waitUpTo: Duration,
    val readTimeout: Duration,
    val initialBackOff: Duration = Duration.ofMillis(150),
    val maxBackOff: Duration = Duration.ofMillis(500)
) {
    public companion object {
        /** For a topic with few records: a read waits for the next one. */
        public fun waiting(
            budget: FreshnessBudget,
            minPeriod: Duration = RELAY_PERIOD
        ): WatchTiming = WatchTiming(minPeriod, budget.readPeriod, budget.readTimeout)

        /** For a topic in which a read that waits would return at once for the next record. */
        public fun polling(budget: FreshnessBudget): WatchTiming =
            WatchTiming(budget.readPeriod, Duration.ZERO, budget.readTimeout)
    }
}
