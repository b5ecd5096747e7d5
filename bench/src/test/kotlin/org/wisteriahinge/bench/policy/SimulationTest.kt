package org.wisteriahinge.bench.policy

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo

/** Guards the comparisons against runs that depend on anything but the seed. */
class SimulationTest {
    private val short = STEADY.copy(durationMillis = 600, warmupMillis = 100)

    @Test
    fun `equal seeds give equal runs for every policy`() {
        POLICIES.forEach { policy ->
            val first = Simulation(short, policy, seed = 7).run()
            val second = Simulation(short, policy, seed = 7).run()
            expectThat(first.outcomes).isEqualTo(second.outcomes)
        }
    }

    @Test
    fun `every request ends exactly once`() {
        POLICIES.forEach { policy ->
            val ended = Simulation(short, policy, seed = 7).run().outcomes.map { it.request.id }
            expectThat(ended.toSet()).hasSize(ended.size)
            expectThat(ended).hasSize(short.requests(7).size)
        }
    }

    @Test
    fun `the heap yields events by time and insertion`() {
        val times = listOf(5L, 1L, 5L, 3L, 1L)
        val heap = times.foldIndexed<Long, EventHeap<Int>>(EventHeap.Empty) { index, all, time ->
            all.add(time, index.toLong(), index)
        }
        expectThat(drain(heap)).isEqualTo(listOf(1, 4, 3, 0, 2))
    }

    private fun drain(heap: EventHeap<Int>): List<Int> = when (heap) {
        EventHeap.Empty -> emptyList()
        is EventHeap.Node -> listOf(heap.value) + drain(heap.rest())
    }
}
