package org.wisteriahinge.runtime

import java.time.Clock
import java.time.Duration
import org.wisteriahinge.core.configuration.ConfigurationEffect
import org.wisteriahinge.core.configuration.ConfigurationEvent
import org.wisteriahinge.core.configuration.ConfigurationState
import org.wisteriahinge.core.configuration.decide

/** Longest time between decisions; short against their shortest timeout, which is one second. */
private val MAX_TICK_INTERVAL: Duration = Duration.ofMillis(250)

/** The thread that owns [ConfigurationState]: it decides on events in [inbox] and on ticks. */
public class ConfigurationDuty(
    private val inbox: Ring<ConfigurationEvent>,
    private var state: ConfigurationState,
    private val effects: EffectSink<ConfigurationEffect>,
    private val clock: Clock
) : Duty("configuration") {
    override fun runOnce() {
        val event = inbox.take(MAX_TICK_INTERVAL) ?: ConfigurationEvent.Ticked
        val decision = state.decide(event, clock.instant())
        state = decision.state
        decision.effects.forEach(effects::perform)
    }
}
