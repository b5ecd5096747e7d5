package org.wisteriahinge.core.limits

import java.time.Instant
import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.Test
import org.wisteriahinge.core.model.CustomerId
import org.wisteriahinge.core.model.InstanceId
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class ShareLedgerTest {
    private val start = Instant.parse("2026-01-01T00:00:00Z")
    private val customer = CustomerId("c")

    private fun want(instance: String, sequence: Long, units: Int, second: Long) = ShareBatch(
        appendId = "$instance-$sequence",
        instance = InstanceId(instance),
        sequence = sequence,
        at = start.plusSeconds(second),
        readOffset = 0,
        until = start.plusSeconds(second + 30),
        slotUntil = start.plusSeconds(second + 60),
        entries = persistentListOf(
            ShareEntry.Share(customer, ShareUnits(units, units, units), ShareUnits.None),
            ShareEntry.Slot(0)
        )
    )

    private fun fold(vararg batches: ShareBatch) =
        batches.foldIndexed(ShareLedger(LimitsSettings())) { offset, ledger, batch ->
            ledger.apply(ReadShares(offset.toLong(), batch))
        }

    private fun ShareLedger.held(instance: String) =
        shares[customer]?.get(InstanceId(instance))?.lowerBound?.calls ?: 0

    /** Guards against shares that together exceed the leased part. */
    @Test
    fun `the first request in the log is met and the next gets what is left`() {
        val ledger = fold(want("a", 1, 700, 0), want("b", 1, 700, 0))
        expectThat(ledger.held("a")).isEqualTo(700)
        expectThat(ledger.held("b")).isEqualTo(200)
    }

    /** Guards against granting a share that a holder with a slow clock may still use. */
    @Test
    fun `a share is counted until its term and the skew bound have passed`() {
        expectThat(fold(want("a", 1, 900, 0), want("b", 1, 900, 31)).held("b")).isEqualTo(0)
        expectThat(fold(want("a", 1, 900, 0), want("b", 1, 900, 32)).held("b")).isEqualTo(900)
    }

    /** Guards against a delayed append that lowers a share its writer has raised since. */
    @Test
    fun `a record older than the last one of its writer is ignored`() {
        val ledger = fold(want("a", 2, 900, 1), want("a", 1, 100, 0), want("b", 1, 800, 2))
        expectThat(ledger.held("a")).isEqualTo(900)
        expectThat(ledger.held("b")).isEqualTo(0)
    }

    /** Guards against two instances using the same static slot. */
    @Test
    fun `a slot has one holder until its term and the skew bound have passed`() {
        expectThat(fold(want("a", 1, 0, 0), want("b", 1, 0, 61)).slots[0]?.instance)
            .isEqualTo(InstanceId("a"))
        expectThat(fold(want("a", 1, 0, 0), want("b", 1, 0, 62)).slots[0]?.instance)
            .isEqualTo(InstanceId("b"))
    }

    private fun ShareLedger.neverHeld(instance: String) =
        shares[customer]?.get(InstanceId(instance))?.neverHeld?.calls

    /** Guards against a burst that is admitted twice, by an earlier holder and by the next. */
    @Test
    fun `a part that was returned does not count as never held`() {
        val ledger = fold(
            want("a", 1, 300, 0),
            want("b", 1, 300, 0),
            want("a", 2, 0, 1),
            want("c", 1, 600, 2)
        )
        expectThat(ledger.neverHeld("b")).isEqualTo(300)
        expectThat(ledger.held("c")).isEqualTo(600)
        expectThat(ledger.neverHeld("c")).isEqualTo(300)
    }

    /** Guards against a holder that renews its share and gets the burst again. */
    @Test
    fun `a renewal grants nothing that was never held`() {
        val ledger = fold(want("a", 1, 300, 0), want("a", 2, 300, 10))
        expectThat(ledger.neverHeld("a")).isEqualTo(0)
    }

    /** Guards against a burst that was used under records that this reader did not see. */
    @Test
    fun `after lost records nothing counts as never held`() {
        val ledger = ShareLedger(LimitsSettings()).resumedAt(earliest = 5, start)
            .apply(ReadShares(5, want("a", 1, 300, 100)))
        expectThat(ledger.held("a")).isEqualTo(300)
        expectThat(ledger.neverHeld("a")).isEqualTo(0)
    }
}
