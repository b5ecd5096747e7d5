package org.wisteriahinge.core.routing

import java.time.Duration
import java.time.Instant
import java.util.SplittableRandom
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.core.model.Target
import org.wisteriahinge.core.model.TargetId

/** Slot time that the budget counts for one probe; a load endpoint answers faster. */
public const val PROBE_COST_MILLIS: Int = 5

/** Fraction of a target's slot time that the probes of all instances together may use. */
private const val PROBE_BUDGET_FRACTION = 0.01

/** Most instances that probe one target; two may fail between heartbeats without a gap. */
private const val MAX_PROBERS = 3

/** Shortest time between two probes of a target by one instance. */
internal val PROBE_PERIOD: Duration = Duration.ofSeconds(1)

/** Age up to which a load report spares the probes of all but the first prober. */
private val FRESH_REPORT_AGE: Duration = Duration.ofSeconds(1)

/** A target that this instance probes. [rank] is its place among the target's probers, from 0. */
public data class AssignedProbe(val target: TargetId, val rank: Int)

/**
 * The targets that this instance probes, and when it last probed each.
 *
 * The probers of a target are the first live instances after it on a consistent-hash ring. Their
 * number is bounded, so the probe load of a target does not grow with the number of instances.
 */
public data class ProbePlan(
    val self: InstanceId? = null,
    val live: PersistentList<InstanceId> = persistentListOf(),
    val assigned: PersistentList<AssignedProbe> = persistentListOf(),
    val lastProbes: PersistentMap<TargetId, Instant> = persistentHashMapOf()
) {
    internal fun withMembers(self: InstanceId, members: PersistentSet<InstanceId>): ProbePlan =
        copy(self = self, live = members.sortedBy { it.ringPosition() }.toPersistentList())

    internal fun forTargets(targets: List<Target>): ProbePlan {
        val mine = targets.mapNotNull { target ->
            val rank = probersOf(target).indexOf(self)
            if (rank < 0) null else AssignedProbe(target.id, rank)
        }
        val kept = mine.fold(persistentHashMapOf<TargetId, Instant>()) { all, probe ->
            lastProbes[probe.target]?.let { all.put(probe.target, it) } ?: all
        }
        return copy(assigned = mine.toPersistentList(), lastProbes = kept)
    }

    /** The instances that probe [target]. The first one also probes while load reports arrive. */
    internal fun probersOf(target: Target): List<InstanceId> {
        if (live.isEmpty()) return emptyList()
        val position = target.id.value.ringPosition()
        val found = live.binarySearchBy(position) { it.ringPosition() }
        val first = if (found >= 0) found else -found - 1
        return List(minOf(maxProbers(target), live.size)) { live[(first + it) % live.size] }
    }
}

/** Uses half of the budget, because instances may briefly disagree about which ones are live. */
private fun maxProbers(target: Target): Int {
    val slotMillisPerSecond = target.slots * PROBE_PERIOD.toMillis()
    val probesPerSecond = PROBE_BUDGET_FRACTION * slotMillisPerSecond / PROBE_COST_MILLIS
    return (probesPerSecond / 2).toInt().coerceIn(1, MAX_PROBERS)
}

private fun InstanceId.ringPosition(): Long = value.ringPosition()

private fun String.ringPosition(): Long = SplittableRandom(hashCode().toLong()).nextLong()

/** The targets to probe now, and the state that records these probes as sent. */
internal data class DueProbes(val routing: RoutingState, val targets: PersistentList<Target>)

internal fun RoutingState.dueProbes(now: Instant): DueProbes {
    val due = probePlan.assigned.filter { isDue(it, now) }.mapNotNull { targets[it.target]?.target }
    if (due.isEmpty()) return DueProbes(this, persistentListOf())
    val sent = due.fold(probePlan.lastProbes) { all, target -> all.put(target.id, now) }
    return DueProbes(copy(probePlan = probePlan.copy(lastProbes = sent)), due.toPersistentList())
}

private fun RoutingState.isDue(probe: AssignedProbe, now: Instant): Boolean {
    val last = probePlan.lastProbes[probe.target]
    if (last != null && Duration.between(last, now) < PROBE_PERIOD) return false
    val answeredAt = targets[probe.target]?.load?.observedAt ?: return true
    // A load report in an answer does not show a drain, so the first prober always probes.
    return probe.rank == 0 || Duration.between(answeredAt, now) > FRESH_REPORT_AGE
}
