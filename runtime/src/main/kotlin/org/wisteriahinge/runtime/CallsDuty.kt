package org.wisteriahinge.runtime

import java.time.Clock
import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.wisteriahinge.core.call.CallEffect
import org.wisteriahinge.core.call.CallEvent
import org.wisteriahinge.core.call.CallsDecision
import org.wisteriahinge.core.call.CallsState
import org.wisteriahinge.core.call.decide
import org.wisteriahinge.core.call.tickDueAt
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.Execution
import org.wisteriahinge.core.model.Refusal
import org.wisteriahinge.core.model.RefusalReason

/** Receives the effects for one call; implemented by the front end that handles the call. */
public fun interface CallPort {
    /** Called on the thread of the `calls` duty; must not block. */
    public fun accept(effect: CallEffect.ForCall)
}

/** A message to the `calls` duty. [port] is set for [CallEvent.Arrived] only. */
public data class CallMessage(val event: CallEvent, val port: CallPort? = null)

/** Time until a tick is repeated whose decision failed. */
private val FAILED_TICK_PAUSE: Duration = Duration.ofMillis(100)

/** Shortest time between two ticks. */
private val MIN_TICK_INTERVAL: Duration = Duration.ofMillis(1)

/**
 * The thread that owns [CallsState] and the ports of the calls in progress.
 *
 * It blocks until a message arrives or the next decision is due, so that an idle instance does not
 * wake up periodically.
 */
public class CallsDuty(
    private val inbox: Ring<CallMessage>,
    private var state: CallsState,
    private val effects: EffectSink<CallEffect>,
    private val clock: Clock,
    private val timeOfDay: Clock = Clock.systemUTC()
) : Duty("calls") {
    private var ports: PersistentMap<CallId, CallPort> = persistentHashMapOf()

    private var tickedAt = clock.instant()
    private var dueAt = tickedAt

    override fun runOnce() {
        val now = clock.instant()
        val message = if (now < dueAt) inbox.take(Duration.between(now, dueAt)) else null
        handle(message ?: CallMessage(CallEvent.Ticked))
    }

    private fun handle(message: CallMessage) {
        val event = message.event
        if (event is CallEvent.Arrived && message.port != null) {
            ports = ports.put(event.request.callId, message.port)
        }
        val now = clock.instant()
        compareClocks(now)
        // Holds if the decision fails, so that messages are handled before the tick is repeated.
        if (event == CallEvent.Ticked) dueAt = now + FAILED_TICK_PAUSE
        val decision = decideOrRefuse(event, now)
        state = decision.state
        if (event == CallEvent.Ticked) tickedAt = now
        dueAt = maxOf(state.tickDueAt(tickedAt), tickedAt + MIN_TICK_INTERVAL)
        decision.effects.forEach(::perform)
    }

    /** Each message may be the first one after the machine was suspended or its time was set. */
    private fun compareClocks(now: Instant) {
        if (state.keyTrust.revocationBound == null) return
        val lead = Duration.between(now, timeOfDay.instant())
        if (!state.keyTrust.isOutdatedBy(lead)) return
        val decision = state.decide(CallEvent.ClocksCompared(lead), now)
        state = decision.state
        decision.effects.forEach(::perform)
    }

    /** A call whose arrival cannot be decided on was not sent; its caller is told at once. */
    private fun decideOrRefuse(event: CallEvent, now: Instant): CallsDecision = try {
        state.decide(event, now)
    } catch (e: RuntimeException) {
        if (event is CallEvent.Arrived) {
            val refusal = Refusal(RefusalReason.InstanceOverloaded, Execution.NotRun)
            perform(CallEffect.Refuse(event.request.callId, refusal))
        }
        throw e
    }

    private fun perform(effect: CallEffect) {
        if (effect !is CallEffect.ForCall) return effects.perform(effect)
        ports[effect.callId]?.accept(effect)
        if (effect is CallEffect.Refuse || effect is CallEffect.Finished) {
            ports = ports.remove(effect.callId)
        }
    }
}
