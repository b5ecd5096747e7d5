package org.wisteriahinge.runtime

import com.github.michaelbull.result.mapBoth
import com.github.michaelbull.result.onFailure
import io.github.oshai.kotlinlogging.KotlinLogging
import java.time.Clock
import org.wisteriahinge.core.group.GROUP_LEASE_TERM
import org.wisteriahinge.core.group.GroupEffect
import org.wisteriahinge.core.group.GroupEvent
import org.wisteriahinge.core.group.GroupState
import org.wisteriahinge.core.ratelimit.RateLimitShare

private val logger = KotlinLogging.logger {}

private const val RING_CAPACITY = 64

/**
 * The thread that owns [GroupState] and calls [group].
 *
 * It blocks while no partitions are needed. [useShare] gets each share that this instance may use.
 */
public class GroupDuty(
    partitionCount: Int,
    private val group: PartitionGroup,
    private val clock: Clock,
    private val useShare: (RateLimitShare) -> Unit
) : Duty("rate-limit-group") {
    private val inbox = Ring<GroupEvent>("rate-limit-group", RING_CAPACITY)
    private var state = GroupState(partitionCount)

    /** Tells the duty whether partitions are needed; the sender repeats it with each change. */
    public fun post(event: GroupEvent) {
        if (inbox.offer(event) == Offer.Full) logger.warn { "rate-limit-group is late; $event" }
    }

    override fun runOnce() {
        handle(inbox.takeUntil(state.tickDueAt, clock) ?: GroupEvent.Ticked)
    }

    private fun handle(event: GroupEvent) {
        val decision = state.decide(event, clock.instant())
        state = decision.state
        decision.effects.forEach(::perform)
    }

    private fun perform(effect: GroupEffect) {
        when (effect) {
            is GroupEffect.Join -> handle(join(effect.generation))
            GroupEffect.Leave -> leave()
            is GroupEffect.UseShare -> useShare(effect.share)
            GroupEffect.LogJoined -> logger.info { "joined the group that divides rate limits" }
            GroupEffect.LogExpired -> logger.warn {
                "the lease on parts of rate limits ended before it was renewed; using them at a " +
                    "reduced rate"
            }
        }
    }

    /** Without an answer, the membership ends with its term. */
    private fun leave() {
        group.leave().onFailure { logger.info { "rate-limit-group: ${it.message}" } }
    }

    private fun join(generation: Long): GroupEvent {
        val startedAt = clock.instant()
        return group.join(generation, GROUP_LEASE_TERM).mapBoth(
            success = { GroupEvent.Joined(startedAt, it.generation, it.partitions) },
            failure = {
                logger.info { "rate-limit-group: ${it.message}" }
                GroupEvent.JoinFailed
            }
        )
    }
}
