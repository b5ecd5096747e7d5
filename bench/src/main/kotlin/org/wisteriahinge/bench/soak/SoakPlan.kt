package org.wisteriahinge.bench.soak

import java.time.Duration
import java.util.SplittableRandom
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList

/** Time without new faults at the start and at the end of a plan. */
private val QUIET: Duration = Duration.ofSeconds(2)
private const val LONGEST_GAP_MILLIS = 1_800L
private const val KINDS = 15
private const val SHORTEST_MILLIS = 300L
private const val LONGEST_MILLIS = 3_500L

/** Largest limit that a target names, in requests per second. */
private const val LARGEST_LIMIT = 6.0

/** Callers of an instance without links must be served from 3 s on. */
private val LINK_CUT_LENGTH: Duration = Duration.ofSeconds(5)

/** A limit must last for some time before it can be checked. */
private val LIMIT_LENGTH: Duration = Duration.ofSeconds(7)

/** Retries are bounded from 3 s after the third crash. */
private val CRASHING_LENGTH: Duration = Duration.ofSeconds(6)
private const val MAX_CRASHING_REQUESTS = 1_000_000

/** Size of the deployment and length of the fault period. */
internal data class SoakSize(val instances: Int, val targets: Int, val length: Duration)

/**
 * Draws the faults of a soak, which may overlap; the same [seed] and [size] give the same plan.
 *
 * Each plan omits some kinds of faults, because checks are not applied near faults that may affect
 * them; with all kinds in one plan, some fault would always suspend the check of another.
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
        SoakFault.LimitedTarget(target, random.nextDouble(LARGEST_LIMIT), length + LIMIT_LENGTH),
        SoakFault.Drain(target, length + Duration.ofSeconds(2)),
        SoakFault.NewConfiguration,
        SoakFault.StoreRestore(length),
        SoakFault.InstanceLinks(instance, link, length + LINK_CUT_LENGTH),
        SoakFault.CrashingRequest(random.nextInt(MAX_CRASHING_REQUESTS), length + CRASHING_LENGTH)
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
        // Listed twice: most guarantees concern requests that ran and whose answer is lost.
        LinkMode.NoAnswers
    )
    return links[random.nextInt(links.size)]
}
