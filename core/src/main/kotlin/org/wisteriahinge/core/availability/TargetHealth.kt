package org.wisteriahinge.core.availability

import java.time.Duration
import java.time.Instant
import org.wisteriahinge.core.availability.AvailabilityAction as Action
import org.wisteriahinge.core.availability.AvailabilityState as State
import org.wisteriahinge.core.availability.AvailabilityTrigger as Trigger

/** Good answers after which a cold target is warm. */
internal const val SUCCESSES_TO_WARM = 4

/** Failures in a row that eject a warm target; one alone may be the request's own fault. */
private const val FAILURES_TO_EJECT = 2

/** Refusals in a row after which a target counts as slow; a single one only shows a full queue. */
private const val SHEDS_TO_SUSPECT = 4

/**
 * Pace above which a target is suspect, and below which it counts as usual. With 2.0, chance
 * alone moved load off some targets and onto others: p99 in shifting-load was 89 ms, not 79 ms.
 * A gap between the two would leave a target unused without the trials of a suspect one.
 */
internal const val SUSPECT_LATENCY_RATIO = 3.0

/** Pace of an answer that counts as recovered. */
private const val RECOVERED_LATENCY_RATIO = 3.0

/** A sample counts at most this much, so that one very long request does not mark a target. */
private const val MAX_LATENCY_RATIO = 10.0

/** Weight of the newest answer in the latencyRatio. */
private const val LATENCY_SAMPLE_WEIGHT = 0.25

/**
 * A server that crashed may be back within a third of a second; with several crashes a second,
 * longer first waits keep more than a third of the targets out of service.
 */
private val INITIAL_TRIAL_DELAY: Duration = Duration.ofMillis(250)
private val MAX_TRIAL_DELAY: Duration = Duration.ofSeconds(16)
private const val MAX_TRIAL_DOUBLINGS = 6

/** A drain that no source has repeated for this long has ended. */
private val DRAIN_EXPIRY: Duration = Duration.ofSeconds(10)

/**
 * What is known of a target's ability to serve.
 *
 * [latencyRatio] is the smoothed ratio of its answer times to the usual ones; 1.0 is usual. [dueAt] is
 * the time of the next trial or the end of a drain, [drainAnnouncedAt] the target's latest word of
 * it. [scheduledTrials] counts trials that did not help.
 */
public data class TargetHealth(
    val state: State = State.Cold,
    val successes: Int = 0,
    val failures: Int = 0,
    val sheds: Int = 0,
    val latencyRatio: Double = 1.0,
    val scheduledTrials: Int = 0,
    val dueAt: Instant = Instant.EPOCH,
    val drainAnnouncedAt: Instant = Instant.EPOCH
) {
    /** Whether a time that the state waits for has come. */
    public fun isDue(now: Instant): Boolean = now >= dueAt

    /** An answer without a server error came after [ratio] times the usual time. */
    public fun answered(ratio: Double, context: DecisionContext): TargetHealth {
        val sample = ratio.coerceAtMost(MAX_LATENCY_RATIO)
        val next = copy(
            successes = successes + 1,
            failures = 0,
            sheds = 0,
            latencyRatio = latencyRatio + LATENCY_SAMPLE_WEIGHT * (sample - latencyRatio)
        )
        return when {
            state == State.Suspect && sample < RECOVERED_LATENCY_RATIO ->
                next.step(Trigger.Recovered, context)
            next.latencyRatio > SUSPECT_LATENCY_RATIO -> next.step(Trigger.Slow, context)
            next.successes >= SUCCESSES_TO_WARM -> next.step(Trigger.Warmed, context)
            else -> next
        }
    }

    /** A server error or a broken connection. Only where [mayEject], the target is ejected. */
    public fun failed(
        context: DecisionContext,
        conclusive: Boolean,
        mayEject: Boolean
    ): TargetHealth {
        val next = copy(failures = failures + 1)
        val onTrial = state == State.Cold && scheduledTrials > 0
        return when {
            !conclusive && !onTrial && next.failures < FAILURES_TO_EJECT -> next
            mayEject -> next.step(Trigger.Failing, context)
            else -> next.copy(latencyRatio = MAX_LATENCY_RATIO).step(Trigger.Slow, context)
        }
    }

    /** The target refused a request because it is full. */
    public fun shed(context: DecisionContext): TargetHealth {
        val next = copy(sheds = sheds + 1)
        return if (next.sheds < SHEDS_TO_SUSPECT) {
            next
        } else {
            next.copy(latencyRatio = MAX_LATENCY_RATIO).step(Trigger.Slow, context)
        }
    }

    /** Interprets [trigger] in the chart `target-availability`. */
    public fun step(trigger: Trigger, context: DecisionContext): TargetHealth {
        val step = availabilityChart.step(state, trigger)
        return step.effects.fold(copy(state = step.state)) { health, action ->
            health.perform(action, context)
        }
    }

    private fun perform(action: Action, context: DecisionContext): TargetHealth = when (action) {
        Action.StartRamp -> copy(successes = 0, failures = 0, sheds = 0, latencyRatio = 1.0)
        Action.ScheduleTrial ->
            copy(
                scheduledTrials = scheduledTrials + 1,
                dueAt = context.now.plus(trialDelay(context.jitter))
            )
        Action.HoldDrain ->
            copy(dueAt = context.now.plus(DRAIN_EXPIRY), drainAnnouncedAt = context.now)
        Action.ClearRecord -> copy(failures = 0, sheds = 0, scheduledTrials = 0, latencyRatio = 1.0)
    }

    /** Doubles with each strike; [jitter] keeps instances from trying at the same context. */
    private fun trialDelay(jitter: Double): Duration {
        val doubled = INITIAL_TRIAL_DELAY.multipliedBy(
            1L shl scheduledTrials.coerceAtMost(MAX_TRIAL_DOUBLINGS)
        )
        val bounded = minOf(doubled, MAX_TRIAL_DELAY)
        return Duration.ofNanos((bounded.toNanos() * (1 + jitter / 2)).toLong())
    }
}

/** When a decision is made; [jitter] is a draw between 0 and 1 that differs by instance. */
public data class DecisionContext(val now: Instant, val jitter: Double)
