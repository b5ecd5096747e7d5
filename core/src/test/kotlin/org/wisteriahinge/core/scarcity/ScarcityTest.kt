package org.wisteriahinge.core.scarcity

import java.time.Duration
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

private const val TARGETS = 45
private const val SLOTS = 6

/** Requests that a target can have at its usual pace. */
private const val USUAL_PACE_REQUESTS = 4

/** Slowdown by neighbours: 0.3 of the targets take four times as long. */
private const val MEAN_NOISE_PACE = 1.9

/**
 * Several instances that share targets of 6 slots, which slow down when they are nearly full.
 * Guards against overload in which all callers are answered late, and in which the less urgent
 * calls or one customer take the room of the others.
 */
class ScarcityTest {
    private val stock = Kind("stock", 0, 0.0, 140, 402, 2_511)
    private val dispatch = Kind("dispatch", 1, 0.0, 249, 604, 5_035)
    private val history = Kind("history", 2, 0.0, 348, 803, 6_022)
    private val mix = listOf(stock to 0.2, dispatch to 0.2, history to 0.6)

    /** Plays 12 s of kinds with their shares of what the targets can do at their usual pace. */
    private fun play(
        demand: List<Pair<Kind, Double>>,
        noise: Boolean = false,
        instances: Int = 40
    ): ScarceService {
        val slowdown = if (noise) MEAN_NOISE_PACE else 1.0
        val workMillisPerSecond = TARGETS * USUAL_PACE_REQUESTS * 1_000 / slowdown
        val kinds = demand.map { (kind, share) ->
            kind.copy(perSecond = share * workMillisPerSecond / kind.workMillis)
        }
        return ScarceService(instances, TARGETS, SLOTS, kinds, seed = 1, noise)
            .play(Duration.ofSeconds(12))
    }

    private fun List<Pair<Kind, Double>>.times(load: Double) = map { it.first to it.second * load }

    private fun ScarceService.goodShareOf(kind: Kind) = goodShare { it.kind.name == kind.name }

    /** Part of the work that the targets can do that was answered within its objective. */
    private fun ScarceService.goodWork(): Double =
        ended.filter { it.isGood }.sumOf { it.kind.workMillis } /
            (12.0 * TARGETS * USUAL_PACE_REQUESTS * 1_000)

    @Test
    fun `at 130 percent demand urgent calls come first and the targets stay fast`() {
        val played = play(mix.times(1.3))
        expectThat(played.goodShareOf(stock)).isGreaterThan(0.95)
        expectThat(played.goodShareOf(dispatch)).isGreaterThan(0.8)
        expectThat(played.goodShareOf(history)).isGreaterThan(0.3)
        // Without an order of calls, 0.46 of the work is answered within its objective.
        expectThat(played.goodWork()).isGreaterThan(0.72)
    }

    @Test
    fun `at 130 percent demand and with noisy neighbours urgent calls come first`() {
        val played = play(mix.times(1.3), noise = true)
        expectThat(played.goodShareOf(stock)).isGreaterThan(0.95)
        expectThat(played.goodShareOf(dispatch)).isGreaterThan(played.goodShareOf(history))
        expectThat(played.goodShareOf(history)).isGreaterThan(0.6)
    }

    @Test
    fun `instances with few calls each keep the order of urgency`() {
        val played = play(mix.times(1.3), instances = 146)
        expectThat(played.goodShareOf(stock)).isGreaterThan(0.95)
        expectThat(played.goodShareOf(dispatch)).isGreaterThan(played.goodShareOf(history))
        expectThat(played.goodShareOf(history)).isGreaterThan(0.3)
    }

    @Test
    fun `nobody is refused while there is room`() {
        val played = play(mix.times(0.6), noise = true)
        expectThat(played.goodShare()).isGreaterThan(0.99)
    }

    @Test
    fun `calls are refused before the price of a late refusal begins`() {
        val played = play(mix.times(1.3))
        val free = stock.objectiveMillis / 8.0
        expectThat(played.refusedAfterMillis.max()).isLessThan(free)
    }

    @Test
    fun `a customer at 7 and a half times its usual leaves the others most of their room`() {
        val others = listOf(history to 0.8)
        val usual = history.copy(name = "usual", hotCustomer = 100)
        val more = history.copy(name = "more", hotCustomer = 100, fromMillis = 4_000)
        val without = play(others + (usual to 0.06))
        val hot = play(others + (usual to 0.06) + (more to 0.39))
        val ofOthers = { ended: Ended -> ended.customer != 100 && ended.startedMillis > 6_000 }
        expectThat(without.goodShare(ofOthers)).isGreaterThan(0.95)
        expectThat(hot.goodShare(ofOthers)).isGreaterThan(0.9)
    }

    @Test
    fun `callers that repeat at once are not served better than others`() {
        val impatient = history.copy(name = "impatient", repeatsAtOnce = true)
        val played = play(listOf(history to 1.04, impatient to 0.26), noise = true)
        expectThat(played.goodShareOf(impatient)).isLessThan(played.goodShareOf(history))
    }

    @Test
    fun `a calm service of equal targets needs less than a probe for each request`() {
        val played = play(mix.times(0.3))
        expectThat(played.probes / played.ended.size.toDouble()).isLessThan(1.0)
        expectThat(played.goodShare()).isGreaterThan(0.99)
    }

    @Test
    fun `a calm service with noisy neighbours is probed until a fast target is found`() {
        val played = play(mix.times(0.3), noise = true)
        expectThat(played.probes / played.ended.size.toDouble()).isLessThan(2.0)
        expectThat(played.goodShare()).isGreaterThan(0.98)
    }
}
