package org.wisteriahinge.core.ratelimit

import java.time.Duration
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import org.wisteriahinge.core.call.CallsHarness
import org.wisteriahinge.core.call.OpenRoutesFixture.harness
import org.wisteriahinge.core.model.TargetId
import org.wisteriahinge.core.survey.SurveyPolicy
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo

/** Share of a limit that callers must get the use of while more requests come than it allows. */
private const val USED_SHARE = 0.7
private const val SEEDS_PER_RUN = 1_000

/** Guards against instances that together exceed the rate that a target accepts from all. */
class SharedRateLimitTest {
    private val limits = (1..6).associate { TargetId("t$it") to 3.0 }
    private val length = Duration.ofSeconds(12)

    private fun play(instances: Int): LimitedService = play(
        List(instances) { harness(targets = 8, survey = SurveyPolicy.BeforeEach()) }
    )

    private fun play(instances: Int, seed: Long): LimitedService = play(
        List(instances) { index ->
            harness(targets = 8, survey = SurveyPolicy.BeforeEach()).also {
                val routing = it.state.routing.copy(seed = seed * SEEDS_PER_RUN + index)
                it.state = it.state.copy(routing = routing)
            }
        }
    )

    private fun play(harnesses: List<CallsHarness>): LimitedService =
        LimitedService(harnesses, limits).also { it.play(perSecond = 80, length) }

    @ParameterizedTest
    @ValueSource(ints = [1, 17, 153])
    fun `instances together send a target no more than the limit that it names`(instances: Int) {
        val service = play(instances)
        limits.forEach { (target, limit) ->
            expectThat(service.mostInWindow(target))
                .isLessThanOrEqualTo(LimitedService.allowedInWindow(limit))
        }
    }

    /** Instances that draw differently meet targets whose limit they do not know at other times. */
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4, 5, 6])
    fun `many instances with seeds of their own keep the limit together`(seed: Long) {
        val service = play(instances = 153, seed)
        limits.forEach { (target, limit) ->
            expectThat(service.mostInWindow(target))
                .isLessThanOrEqualTo(LimitedService.allowedInWindow(limit))
        }
    }

    @Test
    fun `targets with limits are not left empty`() {
        val service = play(instances = 17)
        val allowed = limits.values.sum() * length.toSeconds()
        expectThat(limits.keys.sumOf { service.requestsAt(it) }.toDouble())
            .isGreaterThan(USED_SHARE * allowed)
    }

    /** Instances that draw differently must not leave more permits unused than equal ones. */
    @ParameterizedTest
    @ValueSource(longs = [1, 8, 9])
    fun `targets with limits are not left empty by instances with seeds of their own`(seed: Long) {
        val service = play(instances = 17, seed)
        val allowed = limits.values.sum() * length.toSeconds()
        expectThat(limits.keys.sumOf { service.requestsAt(it) }.toDouble())
            .isGreaterThan(USED_SHARE * allowed)
    }

    @Test
    fun `calls beyond the limits go to targets without one`() {
        val service = play(instances = 17)
        expectThat(service.refused).isEqualTo(0)
    }
}
