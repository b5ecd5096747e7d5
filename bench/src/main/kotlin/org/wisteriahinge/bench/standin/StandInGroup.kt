package org.wisteriahinge.bench.standin

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentSetOf

/** A partition of a topic. */
internal data class TopicPartition(val topic: String, val partition: Int)

/** A partition's [holder], and the member [next] that gets it once the holder gives it up. */
internal data class Assignment(val holder: String?, val next: String, val since: Long)

/** The newest generation of a group and the partitions of the member that joined. */
internal data class Joined(val generation: Long, val held: PersistentSet<TopicPartition>)

/**
 * A group that divides [partitions] evenly among its members.
 *
 * A partition that goes to another member stays with its holder until that joins with the
 * generation of the change or a later one, leaves, or has not joined for its term.
 */
internal data class StandInGroup(
    private val partitions: PersistentSet<TopicPartition> = persistentSetOf(),
    private val expiries: PersistentMap<String, Long> = persistentHashMapOf(),
    private val generation: Long = 0,
    private val assignments: PersistentMap<TopicPartition, Assignment> = persistentHashMapOf()
) {
    /** The group after [member] joined at [nowMillis] for [termMillis]. */
    fun joined(
        member: String,
        topics: PersistentSet<TopicPartition>,
        seen: Long,
        nowMillis: Long,
        termMillis: Long
    ): StandInGroup {
        val present = copy(partitions = topics).withoutExpired(nowMillis)
        val isNew = member !in present.expiries
        val renewed =
            present.copy(expiries = present.expiries.put(member, nowMillis + termMillis))
        val balanced = if (isNew) renewed.rebalanced() else renewed
        return balanced.settled(member, seen)
    }

    /** What [member] gets as the answer to its join. */
    fun answerTo(member: String): Joined {
        val held = assignments.filterValues { it.holder == member && it.next == member }.keys
        return Joined(generation, held.fold(persistentSetOf()) { all, one -> all.add(one) })
    }

    /** The group without [member]. */
    fun left(member: String): StandInGroup = if (member in expiries) {
        copy(expiries = expiries.remove(member)).released(member).rebalanced()
    } else {
        this
    }

    private fun withoutExpired(nowMillis: Long): StandInGroup =
        expiries.filterValues { it <= nowMillis }.keys.fold(this) { group, member ->
            group.left(member)
        }

    private fun released(member: String): StandInGroup = changeEach {
        if (it.holder == member) it.copy(holder = null) else it
    }

    private fun rebalanced(): StandInGroup {
        val members = expiries.keys.sorted()
        val next = copy(generation = generation + 1)
        if (members.isEmpty()) return next
        val ordered = partitions.sortedWith(compareBy({ it.topic }, { it.partition }))
        val dealt = ordered.foldIndexed(assignments) { index, all, partition ->
            val before = all[partition]
            val member = members[index % members.size]
            all.put(partition, Assignment(before?.holder, member, next.generation))
        }
        return next.copy(assignments = dealt)
    }

    /** [member] gives up what it has seen to be another's, and takes what is free and its own. */
    private fun settled(member: String, seen: Long): StandInGroup = changeEach {
        val isGivenUp = it.holder == member && it.next != member && it.since <= seen
        val isTaken = it.holder == null && it.next == member
        when {
            isGivenUp -> it.copy(holder = null)
            isTaken -> it.copy(holder = member)
            else -> it
        }
    }

    private fun changeEach(change: (Assignment) -> Assignment): StandInGroup = copy(
        assignments = assignments.entries.fold(assignments) { all, (partition, assignment) ->
            all.put(partition, change(assignment))
        }
    )
}
