package org.wisteriahinge.runtime

import java.time.Clock
import java.time.Duration
import org.wisteriahinge.core.limits.LimitsEffect
import org.wisteriahinge.core.limits.LimitsEvent
import org.wisteriahinge.core.limits.LimitsState
import org.wisteriahinge.core.limits.decide

/** Longest time between decisions, which is the precision of the ends and renewals of leases. */
private val MAX_TICK_INTERVAL: Duration = Duration.ofMillis(100)

/** The thread that owns [LimitsState]: it decides on the events in [inbox] and on ticks. */
public class LimitsDuty(
    private val inbox: Ring<LimitsEvent>,
    private var state: LimitsState,
    private val effects: EffectSink<LimitsEffect>,
    private val clock: Clock
) : Duty("limits") {
    override fun runOnce() {
        val event = inbox.take(MAX_TICK_INTERVAL) ?: LimitsEvent.Ticked
        val decision = state.decide(event, clock.instant())
        state = decision.state
        decision.effects.forEach(effects::perform)
    }
}
