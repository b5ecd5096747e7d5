package org.wisteriahinge.core.retry

import java.time.Duration
import java.time.Instant
import org.junit.jupiter.api.Test
import org.wisteriahinge.core.model.ServiceId
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isIn
import strikt.assertions.isLessThanOrEqualTo

private const val INSTANCES = 146
private const val RATIO = 0.16
private val WINDOW: Duration = Duration.ofSeconds(10)

/** Guards against more extra work by hedges than the operators' share of the requests. */
class HedgeLimitTest {
    private val start = Instant.parse("2026-01-01T00:00:00Z")
    private val service = ServiceId("lookup")

    private fun instance(seed: Int, hedgeRatio: Double = RATIO): RetryState {
        val hedges = HedgeLimit(hedgeRatio, budgetShare = 0.85, seed.toLong())
        val limit = RetryLimit.Window(WINDOW, ratio = 0.2, baseAllowance = 1.0, hedges)
        return RetryState(RetrySettings(limit = limit))
    }

    private fun RetryState.requested(count: Int, isRepeatable: Boolean = true): RetryState =
        (1..count).fold(this) { state, _ -> state.callStarted(service, isRepeatable, start) }

    private fun RetryState.hedges(): Int = generateSequence(this) {
        it.withdrawHedge(service, start.plusMillis(500))
    }.count() - 1

    /** Load: a service at rest, whose first request at each instance is slow. */
    @Test
    fun `an instance without requests has no hedges`() {
        val hedges = (1..INSTANCES).sumOf { instance(it).hedges() }
        expectThat(hedges).isEqualTo(0)
    }

    /** Load: a quiet service behind many instances, all of whose requests are slow at once. */
    @Test
    fun `instances with few requests each keep the share of all requests`() {
        (1..6).forEach { requests ->
            val hedges = (1..INSTANCES).sumOf { instance(it).requested(requests).hedges() }
            val share = (RATIO * INSTANCES * requests).toInt()
            // Three standard deviations of a sum of roundings.
            expectThat(hedges).isIn(share - 18..share + 18)
        }
    }

    /** Load: one busy instance, all of whose requests are slow at once. */
    @Test
    fun `an instance with many requests keeps the share of its own`() {
        expectThat(instance(1).requested(1_000).hedges()).isIn(160..161)
    }

    /** Load: bookings, which may run once, beside a few lookups. */
    @Test
    fun `requests that may not be repeated add no hedges`() {
        val mixed = instance(1).requested(1_000, isRepeatable = false).requested(100)
        expectThat(mixed.hedges()).isIn(16..17)
    }

    /** Load: retries after a failed target have used up what hedges may use. */
    @Test
    fun `hedges stay within their part of the retry budget`() {
        val retried = (1..17).fold(instance(1, hedgeRatio = 1.0).requested(100)) { state, _ ->
            state.withdrawRetry(service, start) ?: state
        }
        expectThat(retried.hedges()).isIn(0..1)
    }

    @Test
    fun `a share of zero allows none`() {
        expectThat(instance(1, hedgeRatio = 0.0).requested(1_000).hedges()).isEqualTo(0)
    }

    /** Load: demand that comes and goes, with more slow requests than the share. */
    @Test
    fun `hedges stay within the share in every window of a long run`() {
        val requests = mutableListOf<Instant>()
        val hedges = mutableListOf<Instant>()
        (0 until 3_000).fold(instance(1)) { state, step ->
            val now = start.plusMillis(step * 20L)
            val counted = if (step / 500 % 2 == 0) {
                requests.add(now)
                state.callStarted(service, isRepeatable = true, now)
            } else {
                state
            }
            counted.withdrawHedge(service, now)?.also { hedges.add(now) } ?: counted
        }
        hedges.forEach { until ->
            val inside = hedges.count { it > until - WINDOW && it <= until }
            val earned = requests.count { it > until - WINDOW && it <= until }
            expectThat(inside.toDouble()).isLessThanOrEqualTo(RATIO * earned + 1)
        }
    }
}
