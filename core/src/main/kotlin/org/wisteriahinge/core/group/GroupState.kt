package org.wisteriahinge.core.group

import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import org.wisteriahinge.core.ratelimit.RateLimitShare

/** Time after a join, as the store received it, for which its partitions are no one else's. */
public val GROUP_LEASE_TERM: Duration = Duration.ofSeconds(3)

/**
 * Part of the term in which partitions are no longer used at their full rate: the longest time from
 * the decision to send a request to its arrival at the target.
 */
private val LEASE_MARGIN: Duration = Duration.ofMillis(300)

/** Time after the end of a lease for which its partitions are used at a reduced rate. */
private val REDUCED_TERM: Duration = Duration.ofSeconds(15)

/** Time between joins; three of them fit in a term. */
private val JOIN_PERIOD: Duration = Duration.ofMillis(900)

/** Time to the next join while members come and go, so that partitions change hands soon. */
private val REBALANCE_PERIOD: Duration = Duration.ofMillis(250)

private val RETRY_PERIOD: Duration = Duration.ofMillis(300)

/** Time without a need for partitions after which the group is left. */
private val LINGER_TIME: Duration = Duration.ofSeconds(10)

/** An input to [GroupState.decide]. */
public sealed interface GroupEvent {
    /** Whether partitions are needed changed or was confirmed. */
    public data class NeedChanged(val isNeeded: Boolean) : GroupEvent

    /** The store accepted the join that began at [startedAt]. */
    public data class Joined(
        val startedAt: Instant,
        val generation: Long,
        val partitions: PersistentSet<Int>
    ) : GroupEvent

    /** The store did not answer a join, or refused it. */
    public data object JoinFailed : GroupEvent

    /** This instance stops; its partitions go to others at once. */
    public data object Stopping : GroupEvent

    /** Time has passed. */
    public data object Ticked : GroupEvent
}

/** An action that a decision on the membership requests. */
public sealed interface GroupEffect {
    /** Join the group, or stay in it; [generation] is the newest that was received. */
    public data class Join(val generation: Long) : GroupEffect

    /** Leave the group. */
    public data object Leave : GroupEffect

    /** From now on this instance may use [share]. */
    public data class UseShare(val share: RateLimitShare) : GroupEffect

    /** Log that the membership began. */
    public data object LogJoined : GroupEffect

    /** Log that the lease ended before it was renewed. */
    public data object LogExpired : GroupEffect
}

/** The next state and the effects to perform, in order. */
public data class GroupDecision(
    val state: GroupState,
    val effects: PersistentList<GroupEffect> = persistentListOf()
)

/**
 * The membership of this instance in a group of the store, which divides [partitionCount]
 * partitions among the members so that no two use the same one.
 *
 * [unneededSince] is set while partitions are not needed.
 */
public data class GroupState(
    val partitionCount: Int,
    val phase: GroupPhase = GroupPhase.Outside,
    val generation: Long = 0,
    val nextJoinAt: Instant = Instant.MAX,
    val heldUntil: Instant = Instant.MAX,
    val unneededSince: Instant? = null
) {
    /** When [GroupEvent.Ticked] is due next. */
    public val tickDueAt: Instant
        get() = minOf(nextJoinAt, heldUntil, unneededSince?.plus(LINGER_TIME) ?: Instant.MAX)

    /** Decides on [event] at [now]. */
    public fun decide(event: GroupEvent, now: Instant): GroupDecision =
        if (phase == GroupPhase.Stopped) GroupDecision(this) else decideUnlessStopped(event, now)

    private fun decideUnlessStopped(event: GroupEvent, now: Instant) = when (event) {
        is GroupEvent.NeedChanged -> needChanged(event.isNeeded, now)
        is GroupEvent.Joined -> step(GroupTrigger.Joined, now, event)
        GroupEvent.JoinFailed -> step(GroupTrigger.Failed, now)
        GroupEvent.Stopping -> step(GroupTrigger.Stopping, now)
        GroupEvent.Ticked -> ticked(now)
    }

    private fun needChanged(isNeeded: Boolean, now: Instant): GroupDecision = if (isNeeded) {
        copy(unneededSince = null).step(GroupTrigger.Needed, now)
    } else {
        GroupDecision(copy(unneededSince = unneededSince ?: now))
    }

    private fun ticked(now: Instant): GroupDecision {
        val isUnneeded = unneededSince?.let { it + LINGER_TIME <= now } == true
        if (isUnneeded) return copy(unneededSince = null).step(GroupTrigger.Unneeded, now)
        val checked = if (heldUntil <= now) {
            copy(heldUntil = Instant.MAX).step(GroupTrigger.Expired, now)
        } else {
            GroupDecision(this)
        }
        return if (checked.state.nextJoinAt <= now) checked.joining(now) else checked
    }

    private fun GroupDecision.joining(now: Instant): GroupDecision = copy(
        state = state.copy(nextJoinAt = now + JOIN_PERIOD),
        effects = effects.add(GroupEffect.Join(state.generation))
    )

    private fun step(
        trigger: GroupTrigger,
        now: Instant,
        joined: GroupEvent.Joined? = null
    ): GroupDecision {
        val step = groupChart.step(phase, trigger)
        return step.effects.fold(GroupDecision(copy(phase = step.state))) { decision, action ->
            val next = decision.state.perform(action, now, joined)
            GroupDecision(next.state, decision.effects.addAll(next.effects))
        }
    }

    private fun perform(
        action: GroupAction,
        now: Instant,
        joined: GroupEvent.Joined?
    ): GroupDecision = when (action) {
        GroupAction.JoinSoon -> GroupDecision(copy(nextJoinAt = now))
        GroupAction.UsePartitions -> joined?.let { usePartitions(it, now) } ?: GroupDecision(this)
        GroupAction.BackOff -> GroupDecision(copy(nextJoinAt = now + RETRY_PERIOD))
        GroupAction.LeaveGroup -> leave()
        GroupAction.AnnounceJoined -> GroupDecision(this, persistentListOf(GroupEffect.LogJoined))
        GroupAction.AnnounceExpired -> GroupDecision(this, persistentListOf(GroupEffect.LogExpired))
    }

    /** The store counts the term from the arrival of the join, which is after its start. */
    private fun usePartitions(joined: GroupEvent.Joined, now: Instant): GroupDecision {
        val isRebalancing = joined.generation != generation
        val held = joined.startedAt + GROUP_LEASE_TERM - LEASE_MARGIN
        val share = RateLimitShare.Leased(
            joined.partitions,
            partitionCount,
            heldUntil = held,
            reducedUntil = held + REDUCED_TERM
        )
        val next = copy(
            generation = joined.generation,
            heldUntil = held,
            nextJoinAt = now + if (isRebalancing) REBALANCE_PERIOD else JOIN_PERIOD
        )
        return GroupDecision(next, persistentListOf(GroupEffect.UseShare(share)))
    }

    private fun leave(): GroupDecision = GroupDecision(
        GroupState(partitionCount, phase),
        persistentListOf(GroupEffect.UseShare(RateLimitShare.None), GroupEffect.Leave)
    )
}
