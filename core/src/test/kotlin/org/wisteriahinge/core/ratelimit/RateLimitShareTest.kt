package org.wisteriahinge.core.ratelimit

import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.toPersistentSet
import org.junit.jupiter.api.Test
import org.wisteriahinge.core.model.RateLimitReport
import org.wisteriahinge.core.model.TargetId
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isNull
import strikt.assertions.isTrue

private const val PARTITIONS = 24

/** Guards against requests to a target from an instance that has no part in its limit. */
class RateLimitShareTest {
    private val start = Instant.parse("2026-01-01T00:00:00Z")
    private val target = TargetId("t1")

    private fun at(seconds: Long) = start + Duration.ofSeconds(seconds)

    private fun leased(vararg partitions: Int, heldUntil: Instant = Instant.MAX) =
        RateLimitShare.Leased(
            partitions.toSet().toPersistentSet(),
            PARTITIONS,
            heldUntil,
            if (heldUntil == Instant.MAX) heldUntil else heldUntil + Duration.ofSeconds(10)
        )

    private val all = leased(*(0 until PARTITIONS).toList().toIntArray())

    private fun limited(share: RateLimitShare, rate: Double = 4.0) =
        RateLimits(share = share).reported(target, RateLimitReport.Limited(rate), start)

    private fun RateLimits.permits(now: Instant) = permits(target, RequestUrgency.First, now)

    private fun RateLimits.named(now: Instant) = reported(target, RateLimitReport.Limited(4.0), now)

    @Test
    fun `each slice of a limit belongs to one instance`() {
        val shares = (0 until 3).map { index ->
            leased(*(0 until PARTITIONS).filter { it % 3 == index }.toIntArray())
        }
        val slices = shares.map { it.slicesOf(target, requestsPerSecond = 4.0) }
        expectThat(slices.sumOf { it.owned }).isEqualTo(slices.first().count)
    }

    @Test
    fun `a limit that becomes known starts without permits`() {
        expectThat(limited(all).permits(start)).isFalse()
        expectThat(limited(all).permits(at(1))).isTrue()
    }

    @Test
    fun `an instance without a part sends nothing, and a share that arrives starts empty`() {
        val without = limited(leased())
        expectThat(without.permits(at(5))).isFalse()
        expectThat(without.nextPermitAt(listOf(target), RequestUrgency.First, at(5))).isNull()
        val given = without.withShare(all, at(5))
        expectThat(given.permits(at(5))).isFalse()
        expectThat(given.permits(at(6))).isTrue()
    }

    @Test
    fun `an instance that could not renew its lease sends half as much and then nothing`() {
        val share = all.copy(heldUntil = at(2), reducedUntil = at(12))
        expectThat(share.rateFactor(at(1))).isEqualTo(1.0)
        expectThat(share.rateFactor(at(2))).isEqualTo(0.5)
        expectThat(limited(share).named(at(12)).permits(at(12))).isFalse()
    }

    @Test
    fun `a limit of zero permits nothing`() {
        expectThat(limited(all, rate = 0.0).permits(at(30))).isFalse()
    }

    @Test
    fun `more urgent requests get a permit first`() {
        val limits = limited(leased(*(0 until PARTITIONS).filter { it % 7 == 0 }.toIntArray()))
        val first = limits.nextPermitAt(listOf(target), RequestUrgency.First, start)!!
        val later = limits.nextPermitAt(listOf(target), RequestUrgency.Later, start)!!
        expectThat(later).isGreaterThan(first)
        expectThat(limits.permits(target, RequestUrgency.Later, first)).isFalse()
    }

    @Test
    fun `a target that gets no requests is asked for its limit again`() {
        val limits = limited(leased())
        expectThat(limits.firstUnchecked(listOf(target), at(1))).isNull()
        expectThat(limits.firstUnchecked(listOf(target), at(2))).isEqualTo(target)
        expectThat(limits.checked(target, at(2)).firstUnchecked(listOf(target), at(3))).isNull()
    }
}
