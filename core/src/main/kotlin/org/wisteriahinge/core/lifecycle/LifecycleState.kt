package org.wisteriahinge.core.lifecycle

import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/** An input of [LifecycleState.decide]. */
public sealed interface LifecycleEvent {
    /** The server for callers is listening. */
    public data object Started : LifecycleEvent

    /** The platform or an operator asked for a graceful stop. */
    public data object StopRequested : LifecycleEvent

    /** The calls in progress were counted, which is done periodically during a stop. */
    public data class CallsCounted(val inProgress: Int) : LifecycleEvent
}

/**
 * The lifecycle phase of the instance.
 *
 * A stop takes at most [drainTime]. New calls are still served during the first part of it, the
 * [handover]. [drainUntil] and [handoverUntil] are the ends of both, set by the first stop request.
 */
public data class LifecycleState(
    val drainTime: Duration,
    val phase: LifecyclePhase = lifecycleChart.initial,
    val drainUntil: Instant? = null,
    val handover: Duration = Duration.ZERO,
    val handoverUntil: Instant? = null
) {
    /** Returns the state after [event] and the actions to perform. */
    public fun decide(event: LifecycleEvent, now: Instant): LifecycleDecision = when (event) {
        LifecycleEvent.Started -> step(LifecycleTrigger.Started)
        LifecycleEvent.StopRequested -> stop(now)
        is LifecycleEvent.CallsCounted -> callsCounted(event.inProgress, now)
    }

    private fun stop(now: Instant): LifecycleDecision {
        val stopping = copy(
            drainUntil = drainUntil ?: (now + drainTime),
            handoverUntil = handoverUntil ?: (now + handover)
        )
        val trigger = if (handover.isZero) {
            LifecycleTrigger.StopRequested
        } else {
            LifecycleTrigger.LeaveRequested
        }
        return stopping.step(trigger)
    }

    private fun callsCounted(inProgress: Int, now: Instant): LifecycleDecision = when {
        drainUntil == null || handoverUntil == null -> LifecycleDecision(this)
        phase == LifecyclePhase.Leaving ->
            if (now >= handoverUntil) {
                step(LifecycleTrigger.HandoverEnded)
            } else {
                LifecycleDecision(this)
            }
        inProgress == 0 -> step(LifecycleTrigger.Drained)
        now >= drainUntil -> step(LifecycleTrigger.DrainExpired)
        else -> LifecycleDecision(this)
    }

    private fun step(trigger: LifecycleTrigger): LifecycleDecision {
        val step = lifecycleChart.step(phase, trigger)
        return LifecycleDecision(copy(phase = step.state), step.effects)
    }
}

/** The next state and the actions to perform, in order. */
public data class LifecycleDecision(
    val state: LifecycleState,
    val actions: PersistentList<LifecycleAction> = persistentListOf()
)
