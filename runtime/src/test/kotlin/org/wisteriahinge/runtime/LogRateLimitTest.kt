package org.wisteriahinge.runtime

import java.time.Instant
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull

/** Guards against a log volume that grows with the number of refused calls. */
class LogRateLimitTest {
    private val start = Instant.parse("2026-01-01T00:00:00Z")

    private fun LogRateLimit.consumeAll(now: Instant): Pair<Int, LogRateLimit> =
        generateSequence(this) { it.consume(now) }.toList().let { it.size - 1 to it.last() }

    @Test
    fun `a burst of lines is allowed, then a fixed number per second`() {
        val (burst, spent) = LogRateLimit(perSecond = 20.0, burst = 100.0).consumeAll(start)
        expectThat(burst).isEqualTo(100)
        expectThat(spent.consume(start.plusMillis(49))).isNull()
        expectThat(spent.consume(start.plusMillis(50))).isNotNull()
        expectThat(spent.consumeAll(start.plusSeconds(2)).first).isEqualTo(40)
        expectThat(spent.consumeAll(start.plusSeconds(3_600)).first).isEqualTo(100)
    }
}
