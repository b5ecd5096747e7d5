package org.wisteriahinge.core.quota

import java.time.Duration
import java.time.Instant
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import org.wisteriahinge.core.model.RequestQuota
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo

private const val HOT = 7.5

/** Goal: fewer of the requests below the quota are refused. */
private const val MOST_REFUSED = 0.005

/** Goal: more of a quota can be used where demand is skewed and moves. */
private const val LEAST_USABLE = 0.95

private fun seconds(count: Long) = Duration.ofSeconds(count)

/** Guards against customers that get more than their quota over all instances, or much less. */
class SharedQuotaTest {
    @ParameterizedTest
    @ValueSource(ints = [17, 146, 300])
    fun `at the usual load hardly any request is refused`(instances: Int) {
        val play = QuotaPlay(instances)
        play.play(seconds(5))
        val settled = play.now
        play.play(seconds(20))
        expectThat(play.refusedRatio(from = settled)).isLessThan(MOST_REFUSED)
        expectThat(play.mostOfBound()).isLessThanOrEqualTo(1.0)
    }

    @ParameterizedTest
    @ValueSource(ints = [17, 146, 300])
    fun `a hot customer whose callers move gets its quota and takes nothing from others`(
        instances: Int
    ) {
        val play = QuotaPlay(instances)
        play.play(seconds(5))
        val settled = play.now
        play.demand = { play.usual(it) * if (it == 1 || it == 30) HOT else 1.0 }
        repeat(6) { step ->
            val third = (0 until instances).filter { it % 3 == step % 3 }
            play.reached = { if (it == 1) third else null }
            play.play(seconds(4))
        }
        expectThat(usable(play, 1, settled)).isGreaterThan(LEAST_USABLE)
        expectThat(usable(play, 30, settled)).isGreaterThan(LEAST_USABLE)
        expectThat(play.refusedRatio(2..29, settled)).isLessThan(MOST_REFUSED)
        expectThat(play.mostOfBound()).isLessThanOrEqualTo(1.0)
    }

    private fun usable(play: QuotaPlay, rank: Int, from: Instant): Double {
        val rate = checkNotNull(play.customers[rank - 1].quota).requestsPerSecond
        val length = Duration.between(from, play.now).toMillis() / 1_000.0
        return play.admitted(rank, from) / (rate * length)
    }

    @Test
    fun `while a killed relay is away the others serve the usual load`() {
        val play = QuotaPlay(146)
        play.play(seconds(5))
        val killed = play.now
        play.condition = { relay, _ ->
            if (relay == 0) RelayCondition.Refusing else RelayCondition.Answering
        }
        play.play(seconds(8))
        val back = play.now
        play.restartRelay(0)
        play.condition = { _, _ -> RelayCondition.Answering }
        play.play(seconds(8))
        expectThat(play.refusedRatio(from = killed)).isLessThan(MOST_REFUSED)
        expectThat(play.refusedRatio(from = back)).isLessThan(MOST_REFUSED)
        expectThat(play.mostOfBound()).isLessThanOrEqualTo(1.0)
    }

    @Test
    fun `a hot customer gets no more when relays are killed and start again`() {
        val play = QuotaPlay(146)
        play.demand = { play.usual(it) * HOT }
        play.play(seconds(5))
        repeat(3) { relay ->
            play.condition = { asked, _ ->
                if (asked == relay) RelayCondition.Refusing else RelayCondition.Answering
            }
            play.play(seconds(2))
            play.restartRelay(relay)
            play.condition = { _, _ -> RelayCondition.Answering }
            play.play(seconds(2))
        }
        expectThat(play.mostOfBound()).isLessThanOrEqualTo(1.0)
    }

    @Test
    fun `when half of the instances are killed with all relays the rest goes on`() {
        val play = QuotaPlay(146)
        play.play(seconds(5))
        val killed = play.now
        val half = (0 until 146 step 2) + listOf(1)
        play.kill(half)
        play.condition = { _, _ -> RelayCondition.Refusing }
        play.play(seconds(6))
        val away = play.refusedRatio(from = killed)
        repeat(3) { play.restartRelay(it) }
        play.restart(half)
        play.condition = { _, _ -> RelayCondition.Answering }
        play.play(seconds(3))
        val back = play.now
        play.play(seconds(8))
        // An equal part of a quota at each instance, and half of these parts lost.
        expectThat(away).isLessThan(0.8)
        expectThat(play.refusedRatio(from = back)).isLessThan(MOST_REFUSED)
        expectThat(play.mostOfBound()).isLessThanOrEqualTo(1.0)
    }

    @Test
    fun `a hot customer gets no more when all relays start again at the same time`() {
        val play = QuotaPlay(146)
        play.play(seconds(5))
        play.condition = { _, _ -> RelayCondition.Refusing }
        play.play(seconds(4))
        play.demand = { play.usual(it) * HOT }
        play.play(seconds(1))
        repeat(3) { play.restartRelay(it) }
        play.condition = { _, _ -> RelayCondition.Answering }
        play.play(seconds(6))
        expectThat(play.mostOfBound()).isLessThanOrEqualTo(1.0)
    }

    @ParameterizedTest
    @ValueSource(doubles = [0.1, 0.5, 0.9])
    fun `instances that are cut off from the relays stay within the bound`(share: Double) {
        val play = QuotaPlay(146)
        play.demand = { play.usual(it) * HOT }
        play.condition = { _, instance ->
            if (instance < 146 * share) RelayCondition.Silent else RelayCondition.Answering
        }
        play.play(seconds(20))
        expectThat(play.mostOfBound()).isLessThanOrEqualTo(1.0)
    }

    @Test
    fun `relays that answer by turns do not add to the bound`() {
        val play = QuotaPlay(146)
        play.demand = { play.usual(it) * HOT }
        repeat(8) { turn ->
            play.condition = { relay, instance ->
                RelayCondition.entries[(relay + instance + turn) % RelayCondition.entries.size]
            }
            play.play(Duration.ofMillis(1_700))
        }
        expectThat(play.mostOfBound()).isLessThanOrEqualTo(1.0)
    }

    @Test
    fun `a lower quota binds within a window`() {
        val play = QuotaPlay(146)
        play.demand = { play.usual(it) * HOT }
        play.play(seconds(8))
        val lower = { rank: Int -> RequestQuota(maxOf(1.0, play.usual(rank) / 4), 1) }
        play.configure(play.customers.indices.associate { play.customers[it].id to lower(it + 1) })
        val applied = play.now
        play.play(seconds(10))
        expectThat(play.mostOfBound(lower, applied)).isLessThanOrEqualTo(1.0)
    }
}
