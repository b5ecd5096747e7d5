package org.wisteriahinge.core.ratelimit

import java.time.Duration
import java.time.Instant
import org.junit.jupiter.api.Test
import org.wisteriahinge.core.model.RateLimitReport
import org.wisteriahinge.core.model.TargetId
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

/** Guards against limits that answers change in the wrong order or that invalid values replace. */
class RateLimitsTest {
    private val start = Instant.parse("2026-01-01T00:00:00Z")
    private val target = TargetId("t1")
    private val limited = RateLimits().reported(target, RateLimitReport.Limited(4.0), start)

    private fun RateLimits.rate() = byTarget[target]?.requestsPerSecond

    private fun RateLimits.after(report: RateLimitReport, time: Duration) =
        reported(target, report, start + time)

    @Test
    fun `a lower limit is in force at once`() {
        val lower = limited.after(RateLimitReport.Limited(2.5), Duration.ofMillis(10))
        expectThat(lower.rate()).isEqualTo(2.5)
    }

    @Test
    fun `an older answer that overtook the newest does not lift or raise the limit`() {
        val soon = Duration.ofMillis(500)
        expectThat(limited.after(RateLimitReport.Unlimited, soon).rate()).isEqualTo(4.0)
        expectThat(limited.after(RateLimitReport.Limited(9.0), soon).rate()).isEqualTo(4.0)
    }

    @Test
    fun `a limit that is named no more is lifted`() {
        val later = Duration.ofSeconds(1)
        expectThat(limited.after(RateLimitReport.Unlimited, later).rate()).isNull()
        expectThat(limited.after(RateLimitReport.Limited(9.0), later).rate()).isEqualTo(9.0)
    }

    @Test
    fun `an invalid limit leaves the one before in force`() {
        val later = Duration.ofSeconds(5)
        expectThat(limited.after(RateLimitReport.Invalid("none"), later).rate()).isEqualTo(4.0)
    }

    @Test
    fun `limits of targets that are gone are dropped`() {
        expectThat(limited.retaining(setOf(TargetId("t2"))).rate()).isNull()
        expectThat(limited.retaining(setOf(target)).rate()).isEqualTo(4.0)
    }
}
