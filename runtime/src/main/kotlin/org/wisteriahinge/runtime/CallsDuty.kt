package org.wisteriahinge.runtime

import java.time.Clock
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.wisteriahinge.core.call.CallEffect
import org.wisteriahinge.core.call.CallEvent
import org.wisteriahinge.core.call.CallsState
import org.wisteriahinge.core.call.decide
import org.wisteriahinge.core.model.CallId

/** Receives the effects for one call; implemented by the front end that holds the call. */
public fun interface CallPort {
    /** Called on the thread of the `calls` duty; must not block. */
    public fun accept(effect: CallEffect.ForCall)
}

/** A message to the `calls` duty. [port] comes with the arrival of a call. */
public data class CallMessage(val event: CallEvent, val port: CallPort? = null)

/** Owns [CallsState] and the ports of the calls in progress. */
public class CallsDuty(
    private val inbox: Ring<CallMessage>,
    private var state: CallsState,
    private val effects: EffectSink<CallEffect>,
    private val clock: Clock
) : Duty("calls") {
    private var ports: PersistentMap<CallId, CallPort> = persistentHashMapOf()

    override fun runOnce() {
        val message = inbox.take()
        val event = message.event
        if (event is CallEvent.Arrived && message.port != null) {
            ports = ports.put(event.request.callId, message.port)
        }
        val decision = state.decide(event, clock.instant())
        state = decision.state
        decision.effects.forEach(::perform)
    }

    private fun perform(effect: CallEffect) {
        if (effect !is CallEffect.ForCall) return effects.perform(effect)
        ports[effect.callId]?.accept(effect)
        if (effect is CallEffect.Refuse || effect is CallEffect.Finished) {
            ports = ports.remove(effect.callId)
        }
    }
}
