package org.wisteriahinge.runtime

import java.time.Instant
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull

/** Guards against a log whose volume grows with the number of refused calls. */
class LineAllowanceTest {
    private val start = Instant.parse("2026-01-01T00:00:00Z")

    private fun LineAllowance.spendAll(now: Instant): Pair<Int, LineAllowance> =
        generateSequence(this) { it.spend(now) }.toList().let { it.size - 1 to it.last() }

    @Test
    fun `a burst of lines is written, then a number each second`() {
        val (burst, spent) = LineAllowance(perSecond = 20.0, burst = 100.0).spendAll(start)
        expectThat(burst).isEqualTo(100)
        expectThat(spent.spend(start.plusMillis(49))).isNull()
        expectThat(spent.spend(start.plusMillis(50))).isNotNull()
        expectThat(spent.spendAll(start.plusSeconds(2)).first).isEqualTo(40)
        expectThat(spent.spendAll(start.plusSeconds(3_600)).first).isEqualTo(100)
    }
}
