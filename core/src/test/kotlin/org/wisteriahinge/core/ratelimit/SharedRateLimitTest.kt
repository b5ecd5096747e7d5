package org.wisteriahinge.core.ratelimit

import java.time.Duration
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.Test
import org.wisteriahinge.core.call.OpenRoutesFixture.harness
import org.wisteriahinge.core.model.TargetId
import strikt.api.expectThat
import strikt.assertions.isLessThanOrEqualTo

/** Guards against instances that together exceed the rate that a target accepts from all. */
@Tag("known-red")
class SharedRateLimitTest {
    private val limits = (1..6).associate { TargetId("t$it") to 3.0 }

    @Test
    fun `instances together send a target no more than the limit that it names`() {
        val service = LimitedService(List(17) { harness(targets = 8) }, limits)
        service.play(perSecond = 80, Duration.ofSeconds(12))
        limits.forEach { (target, limit) ->
            expectThat(service.mostInWindow(target))
                .isLessThanOrEqualTo(LimitedService.allowedInWindow(limit))
        }
    }
}
