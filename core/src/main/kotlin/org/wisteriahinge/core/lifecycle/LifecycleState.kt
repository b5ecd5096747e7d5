package org.wisteriahinge.core.lifecycle

import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/** What can happen in the life of the instance. */
public sealed interface LifecycleEvent {
    /** The caller server listens. */
    public data object Started : LifecycleEvent

    /** The platform or an operator asked for a graceful stop. */
    public data object StopRequested : LifecycleEvent

    /** Looked at the calls in progress; happens periodically. */
    public data class CallsCounted(val inProgress: Int) : LifecycleEvent
}

/**
 * The phase of the instance. [drainUntil] is set once a stop was requested.
 *
 * A stop takes at most [drainTime]. For the [handover] at its start new calls are still served.
 */
public data class LifecycleState(
    val drainTime: Duration,
    val phase: LifecyclePhase = lifecycleChart.initial,
    val drainUntil: Instant? = null,
    val handover: Duration = Duration.ZERO,
    val handoverUntil: Instant? = null
) {
    /** Decides on [event] at [now]. */
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
            if (now >=
                handoverUntil
            ) {
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

/** The next state and what it asks for, in order. */
public data class LifecycleDecision(
    val state: LifecycleState,
    val actions: PersistentList<LifecycleAction> = persistentListOf()
)
