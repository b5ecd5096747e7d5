package org.wisteriahinge.runtime

import java.time.Clock
import org.wisteriahinge.core.once.OnceEffect
import org.wisteriahinge.core.once.OnceEvent
import org.wisteriahinge.core.once.OnceState
import org.wisteriahinge.core.once.decide
import org.wisteriahinge.core.once.timeUntilNextTick

/** The thread that owns [OnceState]: it decides on the events in [inbox] and on ticks. */
public class OnceDuty(
    private val inbox: Ring<OnceEvent>,
    private var state: OnceState,
    private val effects: EffectSink<OnceEffect>,
    private val clock: Clock
) : Duty("once") {
    override fun runOnce() {
        val event = inbox.take(state.timeUntilNextTick(clock.instant())) ?: OnceEvent.Ticked
        val decision = state.decide(event, clock.instant())
        state = decision.state
        decision.effects.forEach(effects::perform)
    }
}
