package org.wisteriahinge.core.limits

import java.time.Instant
import org.junit.jupiter.api.Test
import org.wisteriahinge.core.model.Allowance
import org.wisteriahinge.core.model.CustomerId
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo

class DemandTest {
    private val start = Instant.parse("2026-01-01T00:00:00Z")
    private val customer = CustomerId("c")
    private val allowances = mapOf(customer to Allowance(5_000.0, 10_000, 240, 1_000, 2_000))

    private fun idleBaseline(instances: Int): ShareUnits {
        val limits = CallLimits(reportedAt = start, liveInstances = instances)
        return limits.demands(allowances, start.plusSeconds(1)).second.getValue(customer).baseline
    }

    /**
     * Guards against a baseline far below an equal part: with 18 thousandths, three instances
     * refused 256 of 600 calls of two customers that used a fraction of their plans.
     */
    @Test
    fun `an idle customer's leased part is divided equally among live instances`() {
        expectThat(idleBaseline(instances = 3)).isEqualTo(ShareUnits(300, 300, 300))
        expectThat(idleBaseline(instances = 18)).isEqualTo(ShareUnits(50, 50, 50))
    }

    @Test
    fun `baselines together stay within the leased part`() {
        for (instances in listOf(0, 1, 7, 18, 400, 1_000)) {
            expectThat(instances * idleBaseline(instances).calls)
                .isLessThanOrEqualTo(LEASED_UNITS)
        }
    }
}
