package org.wisteriahinge.runtime

import java.time.Clock
import java.time.Instant
import org.wisteriahinge.core.membership.MembershipEffect
import org.wisteriahinge.core.membership.MembershipEvent
import org.wisteriahinge.core.membership.MembershipState
import org.wisteriahinge.core.membership.decide

/** The thread that owns [MembershipState]; it also produces the ticks that send heartbeats. */
public class MembershipDuty(
    private val inbox: Ring<MembershipEvent>,
    private var state: MembershipState,
    private val effects: EffectSink<MembershipEffect>,
    private val clock: Clock
) : Duty("membership") {
    private var nextTickAt: Instant = clock.instant()

    override fun runOnce() {
        decide(inbox.takeUntil(nextTickAt, clock) ?: nextTick())
    }

    private fun nextTick(): MembershipEvent {
        nextTickAt = clock.instant().plus(state.settings.period)
        return MembershipEvent.Ticked
    }

    private fun decide(event: MembershipEvent) {
        val decision = state.decide(event, clock.instant())
        state = decision.state
        decision.effects.forEach(effects::perform)
    }
}
