package org.wisteriahinge.runtime

import java.time.Clock
import java.time.Duration
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.wisteriahinge.core.call.CallEffect
import org.wisteriahinge.core.call.CallEvent
import org.wisteriahinge.core.call.CallsState
import org.wisteriahinge.core.call.decide
import org.wisteriahinge.core.model.CallId

/** Deadlines in queues, hedges and demand reports are looked at this often. */
private val TICK: Duration = Duration.ofMillis(20)

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

    private var nextTickAt = clock.instant()

    override fun runOnce() {
        val message = next()
        val event = message.event
        if (event is CallEvent.Arrived && message.port != null) {
            ports = ports.put(event.request.callId, message.port)
        }
        val decision = state.decide(event, clock.instant())
        state = decision.state
        decision.effects.forEach(::perform)
    }

    /** The next message, or a tick when its time has come, however many messages wait. */
    private fun next(): CallMessage {
        val wait = Duration.between(clock.instant(), nextTickAt)
        val message = if (wait > Duration.ZERO) inbox.take(minOf(wait, TICK)) else null
        if (message != null) return message
        nextTickAt = clock.instant().plus(TICK)
        return CallMessage(CallEvent.Ticked)
    }

    private fun perform(effect: CallEffect) {
        if (effect !is CallEffect.ForCall) return effects.perform(effect)
        ports[effect.callId]?.accept(effect)
        if (effect is CallEffect.Refuse || effect is CallEffect.Finished) {
            ports = ports.remove(effect.callId)
        }
    }
}
