package org.wisteriahinge.runtime

import java.time.Clock
import java.time.Duration
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import org.wisteriahinge.core.lifecycle.LifecycleAction
import org.wisteriahinge.core.lifecycle.LifecycleEvent
import org.wisteriahinge.core.lifecycle.LifecyclePhase
import org.wisteriahinge.core.lifecycle.LifecycleState

private const val INBOX_CAPACITY = 16

/** Time between counts of the calls in progress while draining; limits how late the end is seen. */
private val CALL_COUNT_INTERVAL: Duration = Duration.ofMillis(50)

/** The thread that owns the lifecycle phase of the instance and performs its graceful stop. */
public class LifecycleDuty(
    drainTime: Duration,
    handover: Duration,
    private val clock: Clock,
    private val callsInProgress: () -> Int,
    private val effects: EffectSink<LifecycleAction>
) : Duty("lifecycle") {
    private val inbox = Ring<LifecycleEvent>("lifecycle", INBOX_CAPACITY)
    private val stopped = CountDownLatch(1)

    @Volatile
    private var state = LifecycleState(drainTime, handover = handover)

    /** The present phase; may be read on any thread. */
    public val phase: LifecyclePhase get() = state.phase

    /** Queues [event], or drops it if the ring is full, which only repeated events can cause. */
    public fun post(event: LifecycleEvent) {
        inbox.offer(event)
    }

    /** Requests a stop and waits up to [timeout] until the calls in progress have ended. */
    public fun drain(timeout: Duration) {
        post(LifecycleEvent.StopRequested)
        stopped.await(timeout.toMillis(), TimeUnit.MILLISECONDS)
    }

    /** Waits until the process may exit. */
    public fun awaitStopped() {
        stopped.await()
    }

    override fun runOnce() {
        val event = nextEvent()
        val decision = state.decide(event, clock.instant())
        state = decision.state
        decision.actions.forEach(::perform)
    }

    private fun nextEvent(): LifecycleEvent = if (state.drainUntil == null) {
        inbox.take()
    } else {
        inbox.take(CALL_COUNT_INTERVAL) ?: LifecycleEvent.CallsCounted(callsInProgress())
    }

    private fun perform(action: LifecycleAction) {
        effects.perform(action)
        if (action == LifecycleAction.ReleaseProcess) stopped.countDown()
    }
}
