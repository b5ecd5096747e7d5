package org.wisteriahinge.core.group

import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.persistentSetOf
import org.junit.jupiter.api.Test
import org.wisteriahinge.core.ratelimit.RateLimitShare
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

/** Guards against partitions that are used after the store may have given them to others. */
class GroupStateTest {
    private val start = Instant.parse("2026-01-01T00:00:00Z")
    private val needed = GroupEvent.NeedChanged(isNeeded = true)
    private val unneeded = GroupEvent.NeedChanged(isNeeded = false)

    private fun at(millis: Long) = start + Duration.ofMillis(millis)

    private fun joined(startedAt: Instant, generation: Long = 4) =
        GroupEvent.Joined(startedAt, generation, persistentSetOf(1, 2))

    private val member = GroupState(partitionCount = 24).decide(needed, start).state
        .decide(GroupEvent.Ticked, start).state
        .decide(joined(start), at(200)).state

    private fun GroupDecision.share() =
        effects.filterIsInstance<GroupEffect.UseShare>().single().share as RateLimitShare.Leased

    @Test
    fun `an instance joins when it learns of a limit, and not before`() {
        val outside = GroupState(partitionCount = 24)
        expectThat(outside.tickDueAt).isEqualTo(Instant.MAX)
        val ticked = outside.decide(needed, start).state.decide(GroupEvent.Ticked, start)
        expectThat(ticked.effects).containsExactly(GroupEffect.Join(generation = 0))
    }

    @Test
    fun `a lease counts from the start of its join and ends before its term`() {
        val slow = GroupState(partitionCount = 24).decide(needed, start).state
            .decide(joined(start), at(400))
        expectThat(slow.share().heldUntil).isLessThan(start + GROUP_LEASE_TERM)
        expectThat(slow.share().partitions).isEqualTo(persistentSetOf(1, 2))
    }

    @Test
    fun `partitions are joined for again soon after members changed`() {
        val renewed = member.decide(joined(at(500)), at(500)).state
        val changed = member.decide(joined(at(500), generation = 5), at(500)).state
        expectThat(renewed.tickDueAt).isGreaterThan(changed.tickDueAt)
    }

    @Test
    fun `a lease that is not renewed ends, and the instance goes on joining`() {
        val failed = member.decide(GroupEvent.JoinFailed, at(900)).state
        val ended = failed.decide(GroupEvent.Ticked, at(3_000))
        expectThat(ended.effects).contains(GroupEffect.LogExpired)
        expectThat(ended.effects).contains(GroupEffect.Join(generation = 4))
    }

    @Test
    fun `an instance leaves some time after the last limit was lifted`() {
        val lingering = member.decide(unneeded, at(500)).state
        val soon = lingering.decide(
            joined(at(600)),
            at(600)
        ).state.decide(GroupEvent.Ticked, at(700))
        expectThat(soon.effects.filterIsInstance<GroupEffect.Leave>()).isEmpty()
        val later = lingering.decide(GroupEvent.Ticked, at(10_500))
        expectThat(later.effects).containsExactly(
            GroupEffect.UseShare(RateLimitShare.None),
            GroupEffect.Leave
        )
    }

    @Test
    fun `an instance that stops gives its partitions to others at once`() {
        val stopped = member.decide(GroupEvent.Stopping, at(500))
        expectThat(stopped.effects).contains(GroupEffect.Leave)
        expectThat(stopped.state.tickDueAt).isEqualTo(Instant.MAX)
        expectThat(stopped.state.decide(needed, at(600)).state).isEqualTo(stopped.state)
    }
}
