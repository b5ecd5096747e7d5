package org.wisteriahinge.bench.soak

import java.io.File
import java.time.Duration
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotEqualTo

/** Guards against guarantees that instances violate under injected faults. */
class SoakTest {
    private val size = SoakSize(instances = 2, targets = 4, length = Duration.ofSeconds(10))

    @Test
    fun `a seed stands for one plan`() {
        expectThat(soakPlan(7, size)).isEqualTo(soakPlan(7, size))
        expectThat(soakPlan(7, size)).isNotEqualTo(soakPlan(8, size))
    }

    @Tag("known-red")
    @Test
    fun `processes keep their promises under the faults of a short soak`(@TempDir logs: File) {
        val report = Soak(seed = 1, size, logs).run()
        expectThat(report.arrivals).isGreaterThan(0)
        expectThat(report.violations).describedAs("$report").isEmpty()
    }

    @Test
    fun `faults under which a soak once failed are survived`(@TempDir logs: File) {
        soakRegressions.forEach { regression ->
            val report = Soak(seed = 0, regression.size, logs, regression.plan).run()
            expectThat(report.violations).describedAs("${regression.cause}: $report").isEmpty()
        }
    }
}
