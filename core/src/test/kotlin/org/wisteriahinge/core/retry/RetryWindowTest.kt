package org.wisteriahinge.core.retry

import java.time.Duration
import java.time.Instant
import org.junit.jupiter.api.Test
import org.wisteriahinge.core.model.ServiceId
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull

/** Guards against more retries and hedges in any window than the requests in it allow. */
class RetryWindowTest {
    private val start = Instant.parse("2026-01-01T00:00:00Z")
    private val service = ServiceId("lookup")
    private val limit = RetryLimit.Window(
        Duration.ofSeconds(10),
        0.2,
        baseAllowance = 1.0,
        HedgeLimit(ratio = 1.0, budgetShare = 0.5, seed = 1)
    )
    private val empty = RetryState(RetrySettings(limit = limit))

    private fun requested(count: Int, at: Instant = start): RetryState =
        (1..count).fold(empty) { state, _ -> state.callStarted(service, isRepeatable = true, at) }

    private fun countRetries(state: RetryState, at: Instant): Int = generateSequence(state) {
        it.withdrawRetry(service, at)
    }.count() - 1

    @Test
    fun `a service without requests may use only the base allowance`() {
        expectThat(countRetries(empty, start)).isEqualTo(1)
    }

    @Test
    fun `retries stay within the ratio to requests`() {
        expectThat(countRetries(requested(50), start.plusMillis(500))).isEqualTo(11)
    }

    @Test
    fun `hedges leave part of the limit to retries`() {
        val hedged = generateSequence(requested(50)) {
            it.withdrawHedge(service, start.plusMillis(500))
        }.toList()
        expectThat(hedged.size - 1).isEqualTo(5)
        expectThat(hedged.last().withdrawRetry(service, start.plusMillis(500))).isNotNull()
    }

    @Test
    fun `retries stay within the limit in every window of a long run`() {
        val repeats = mutableListOf<Instant>()
        val requests = mutableListOf<Instant>()
        (0 until 3_000).fold(empty) { state, step ->
            val now = start.plusMillis(step * 20L)
            val burst = if (step / 500 % 2 == 0) 1 else 0
            val counted = (0 until burst).fold(state) { known, _ ->
                requests.add(now)
                known.callStarted(service, isRepeatable = true, now)
            }
            counted.withdrawRetry(service, now)?.also { repeats.add(now) } ?: counted
        }
        repeats.forEach { from ->
            val until = from + limit.length
            val inside = repeats.count { it >= from && it < until }
            val requestsBefore = requests.count { it >= from.minus(limit.length) && it < until }
            expectThat(
                inside.toDouble()
            ).isLessThanOrEqualTo(limit.ratio * requestsBefore + limit.baseAllowance)
        }
    }

    @Test
    fun `requests before the window allow no retries`() {
        val later = start + limit.length + Duration.ofSeconds(1)
        val once = requested(50).withdrawRetry(service, later)
        expectThat(once?.withdrawRetry(service, later)).isNull()
    }
}
