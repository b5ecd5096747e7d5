package org.wisteriahinge.bench.freshness

import java.time.Duration
import java.time.Instant
import java.util.SplittableRandom
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList

private const val LONGEST_GAP_MILLIS = 1_500L
private const val SHORTEST_MILLIS = 200L
private const val LONGEST_MILLIS = 6_000L

/** What happens to the instance number [instance] while a fault lasts. */
internal sealed interface FreshnessFault {
    val instance: Int

    /** Its reads of the store get no answer. */
    data class StoreCut(override val instance: Int) : FreshnessFault

    /** Its answers to other instances are lost. */
    data class RelaySilent(override val instance: Int) : FreshnessFault

    /** It stands still. */
    data class Frozen(override val instance: Int) : FreshnessFault

    /** Its process is gone; a new one starts at the end. */
    data class Down(override val instance: Int) : FreshnessFault
}

/** [fault] lasts from [from] until [until]. */
internal data class FaultPeriod(val fault: FreshnessFault, val from: Instant, val until: Instant) {
    operator fun contains(moment: Instant): Boolean = moment >= from && moment < until
}

/** Draws overlapping faults from [from] until [until], half of them at relays. */
internal fun drawFaults(
    seed: Long,
    instances: Int,
    from: Instant,
    until: Instant
): PersistentList<FaultPeriod> {
    val random = SplittableRandom(seed)
    return generateSequence(from) { it.plusMillis(random.nextLong(LONGEST_GAP_MILLIS)) }
        .takeWhile { it < until }
        .map { at ->
            val length = Duration.ofMillis(random.nextLong(SHORTEST_MILLIS, LONGEST_MILLIS))
            FaultPeriod(drawFault(random, instances), at, at + length)
        }
        .toPersistentList()
}

private fun drawFault(random: SplittableRandom, instances: Int): FreshnessFault {
    val instance = random.nextInt(if (random.nextBoolean()) minOf(RELAYS, instances) else instances)
    return when (random.nextInt(4)) {
        0 -> FreshnessFault.StoreCut(instance)
        1 -> FreshnessFault.RelaySilent(instance)
        2 -> FreshnessFault.Frozen(instance)
        else -> FreshnessFault.Down(instance)
    }
}
