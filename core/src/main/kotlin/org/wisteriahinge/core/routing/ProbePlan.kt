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

/** Time of a slot that a probe is assumed to take; a load endpoint answers in less. */
public const val PROBE_COST_MILLIS: Int = 5

/** Largest part of a target's slot time that the probes of all instances may take. */
private const val PROBE_BUDGET_FRACTION = 0.01

/** Instances that probe a target: enough to survive the loss of two between heartbeats. */
private const val MAX_PROBERS = 3

/** Shortest time between two probes of a target by one instance. */
internal val PROBE_PERIOD: Duration = Duration.ofSeconds(1)

/** Age of an answer up to which it makes the probes of all but the first prober superfluous. */
private val FRESH_REPORT_AGE: Duration = Duration.ofSeconds(1)

/** A target that this instance probes as the number [rank] of the target's probers, from 0. */
public data class AssignedProbe(val target: TargetId, val rank: Int)

/**
 * Which targets this instance probes, and when it last did.
 *
 * The probers of a target are the few live instances that follow it on a hash ring, so that the
 * load by probes does not grow with the number of instances.
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

    /** The instances that probe [target], the first of them whether answers come or not. */
    internal fun probersOf(target: Target): List<InstanceId> {
        if (live.isEmpty()) return emptyList()
        val position = target.id.value.ringPosition()
        val found = live.binarySearchBy(position) { it.ringPosition() }
        val first = if (found >= 0) found else -found - 1
        return List(minOf(maxProbers(target), live.size)) { live[(first + it) % live.size] }
    }
}

/** Half of the budget is kept for the time in which instances disagree about who is live. */
private fun maxProbers(target: Target): Int {
    val slotMillisPerSecond = target.slots * PROBE_PERIOD.toMillis()
    val probesPerSecond = PROBE_BUDGET_FRACTION * slotMillisPerSecond / PROBE_COST_MILLIS
    return (probesPerSecond / 2).toInt().coerceIn(1, MAX_PROBERS)
}

private fun InstanceId.ringPosition(): Long = value.ringPosition()

private fun String.ringPosition(): Long = SplittableRandom(hashCode().toLong()).nextLong()

/** The probes that are due, and the state in which they count as sent. */
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
    // Answers do not show that a target drains, so the first prober goes on.
    return probe.rank == 0 || Duration.between(answeredAt, now) > FRESH_REPORT_AGE
}
