package org.wisteriahinge.core.limits

import java.time.Instant
import kotlinx.collections.immutable.persistentHashMapOf
import org.junit.jupiter.api.Test
import org.wisteriahinge.core.model.Allowance
import org.wisteriahinge.core.model.CustomerId
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against a new deployment that refuses the first calls of customers within their plans. */
class CallLimitsTest {
    private val start = Instant.parse("2026-01-01T00:00:00Z")
    private val customer = CustomerId("c")
    private val allowance = Allowance(
        callsPerSecond = 1.0,
        burstCalls = 20,
        concurrentCalls = 240,
        bytesPerSecond = 1_000,
        burstBytes = 2_000
    )

    private fun share(units: Int, neverHeld: Int) = LeasedShare(
        ShareUnits(units, units, units),
        start.plusSeconds(30),
        ShareUnits(neverHeld, neverHeld, neverHeld)
    )

    private fun CallLimits.given(share: LeasedShare): CallLimits =
        copy(scope = LimitScope.Leased(UsableShares(persistentHashMapOf(customer to share), null)))
            .withCredit(customer, share, allowance, start)

    private fun CallLimits.admitted(calls: Int): Int =
        (1..calls).fold(this to 0) { (limits, admitted), _ ->
            when (val verdict = limits.acquire(customer, allowance, bytes = 0, start)) {
                is LimitVerdict.Admitted ->
                    limits.copy(usage = limits.usage.put(customer, verdict.usage)) to admitted + 1
                is LimitVerdict.Refused -> limits to admitted
            }
        }.second

    @Test
    fun `a share that no instance held before admits its part of the burst at once`() {
        expectThat(CallLimits().given(share(300, neverHeld = 300)).admitted(60)).isEqualTo(6)
    }

    @Test
    fun `a share that another instance held before starts empty`() {
        expectThat(CallLimits().given(share(300, neverHeld = 0)).admitted(60)).isEqualTo(0)
    }

    @Test
    fun `the burst is not given again with the same share`() {
        val first = CallLimits().given(share(300, neverHeld = 300))
        val used = first.copy(
            usage = first.usage.put(
                customer,
                first.usageOf(customer, start).let { it.copy(calls = it.calls.copy(tokens = 0.0)) }
            )
        )
        expectThat(used.given(share(300, neverHeld = 300)).admitted(60)).isEqualTo(0)
    }

    @Test
    fun `a share that grows by a part never held gets the tokens of this part only`() {
        val grown = CallLimits().given(share(100, neverHeld = 100))
            .given(share(300, neverHeld = 200))
        expectThat(grown.admitted(60)).isEqualTo(4)
    }
}
