package org.wisteriahinge.bench.freshness

import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import org.wisteriahinge.core.watch.FreshnessBudget
import org.wisteriahinge.core.watch.WatchTiming
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isLessThan

private const val SEEDS = 12L
private const val INSTANCES = 9
private val start: Instant = Instant.parse("2026-01-01T00:00:00Z")

/**
 * Guards against instances that act on old records although they can read the store: their relay
 * has lost it, stands still, falls silent or restarts, at any moment and more than once.
 */
class FreshnessTest {
    private val budget = FreshnessBudget(Duration.ofSeconds(2))
    private val timings = listOf(WatchTiming.waiting(budget), WatchTiming.polling(budget))

    @Test
    fun `each instance that reaches the store knows each record within the bound`() {
        (1..SEEDS).forEach { seed ->
            val faults = drawFaults(seed, INSTANCES, start.plusSeconds(5), start.plusSeconds(40))
            timings.forEach { timing ->
                val run = follow(budget, timing, INSTANCES, seed, faults)
                expectThat(run.late).describedAs("late records of seed $seed, $timing").isEmpty()
            }
        }
    }

    @ParameterizedTest
    @ValueSource(ints = [17, 153])
    fun `without faults only the first relay reads the store`(instances: Int) {
        timings.forEach { timing ->
            val run = follow(budget, timing, instances, seed = 1, persistentListOf())
            // A read that waits also ends with each of the 1.7 records a second.
            expectThat(run.storeReadsPerSecond).isLessThan(3.0)
            expectThat(run.maxAge).isLessThan(budget.relayTakeover)
        }
    }
}
