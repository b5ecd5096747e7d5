package org.wisteriahinge.core.routing

import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.Test
import org.wisteriahinge.core.model.Backend
import org.wisteriahinge.core.model.ServiceId
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo

/** Guards against shares that differ from the weights, and against uninterleaved requests. */
class WeightedRoundRobinTest {
    private val large = Backend(ServiceId("large"), 90)
    private val small = Backend(ServiceId("small"), 10)

    private fun take(state: WeightedRoundRobin, count: Int): List<Backend> =
        generateSequence(state.next()) { it.after.next() }.take(count).map { it.backend }.toList()

    @Test
    fun `each backend gets its weight in every hundred requests`() {
        val taken = take(WeightedRoundRobin.of(persistentListOf(large, small)), 300)
        taken.windowed(100).forEach { window ->
            expectThat(window.count { it == small }).isEqualTo(10)
        }
    }

    @Test
    fun `a backend never gets two requests in a row while its weight is below half`() {
        val taken = take(WeightedRoundRobin.of(persistentListOf(large, small)), 200)
        expectThat(taken.windowed(2).count { it == listOf(small, small) }).isEqualTo(0)
    }

    @Test
    fun `instances that start at different offsets keep the weights in sum`() {
        val state = WeightedRoundRobin.of(persistentListOf(large, small))
        val first = (0 until 100).map { state.advancedBy(it).next().backend }
        expectThat(Math.abs(first.count { it == small } - 10)).isLessThanOrEqualTo(0)
    }
}
