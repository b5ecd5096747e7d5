package org.wisteriahinge.bench.soak

import java.time.Duration
import java.util.SplittableRandom
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList

/** Time before the first fault and after the last one, in which all must be well. */
private val QUIET: Duration = Duration.ofSeconds(2)
private const val LONGEST_GAP_MILLIS = 1_800L
private const val KINDS = 11
private const val SHORTEST_MILLIS = 300L
private const val LONGEST_MILLIS = 3_500L

/** The size of a soak. */
internal data class SoakSize(val instances: Int, val targets: Int, val length: Duration)

/**
 * The faults of [seed], which may overlap and come in series; the same for the same seed.
 *
 * Each seed leaves some kinds out. With all kinds at once there is always one that excuses what
 * another one breaks.
 */
internal fun soakPlan(seed: Long, size: SoakSize): PersistentList<PlannedFault> {
    val random = SplittableRandom(seed)
    val kinds = (0 until KINDS).filter { random.nextBoolean() }.ifEmpty { listOf(0) }
    val last = size.length - QUIET
    return generateSequence(QUIET) { it.plusMillis(random.nextLong(LONGEST_GAP_MILLIS)) }
        .takeWhile { it < last }
        .map { PlannedFault(it, drawFault(random, size, kinds)) }
        .toPersistentList()
}

private fun drawFault(random: SplittableRandom, size: SoakSize, kinds: List<Int>): SoakFault {
    val instance = random.nextInt(size.instances)
    val target = random.nextInt(size.targets)
    val length = Duration.ofMillis(random.nextLong(SHORTEST_MILLIS, LONGEST_MILLIS))
    val link = drawLink(random)
    val faults = listOf(
        SoakFault.Restart(instance),
        SoakFault.Kill(instance),
        SoakFault.Pause(instance, length),
        SoakFault.HangUp(instance),
        SoakFault.TargetLink(target, link, length),
        SoakFault.StoreLink(instance, link, length),
        SoakFault.StoreDown(length),
        SoakFault.StoreCompaction,
        SoakFault.SlowTarget(target, length),
        SoakFault.Drain(target, length + Duration.ofSeconds(2)),
        SoakFault.NewConfiguration
    )
    check(faults.size == KINDS) { "${faults.size} kinds of faults, not $KINDS" }
    return faults[kinds[random.nextInt(kinds.size)]]
}

private fun drawLink(random: SplittableRandom): LinkMode {
    val links = listOf(
        LinkMode.Delayed(Duration.ofMillis(random.nextLong(20, 300))),
        LinkMode.Resetting,
        LinkMode.Blackhole,
        LinkMode.NoAnswers,
        // Work that ran and whose answer is lost is what most promises are about.
        LinkMode.NoAnswers
    )
    return links[random.nextInt(links.size)]
}
