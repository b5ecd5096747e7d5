package org.wisteriahinge.core.availability

import java.time.Duration
import java.time.Instant
import org.wisteriahinge.core.availability.AvailabilityAction as Action
import org.wisteriahinge.core.availability.AvailabilityState as State
import org.wisteriahinge.core.availability.AvailabilityTrigger as Trigger

/** Answers without a server error after which a cold target becomes warm. */
internal const val SUCCESSES_TO_WARM = 4

/** Consecutive failures that eject a target; a single one may be caused by the request. */
private const val FAILURES_TO_EJECT = 2

/** Consecutive refusals that make a target suspect; a single one only shows a full queue. */
private const val SHEDS_TO_SUSPECT = 4

/**
 * Latency ratio above which a target is suspect; up to it, the ratio does not affect the score.
 *
 * With 2.0, random variation alone shifted load between targets and raised the p99 of the
 * benchmark `shifting-load` from 79 ms to 89 ms. One threshold serves both purposes: between two
 * different ones, a target would be avoided without getting the trials of a suspect one.
 */
internal const val SUSPECT_LATENCY_RATIO = 3.0

/** Latency ratio of a single answer below which a suspect target has recovered. */
private const val RECOVERED_LATENCY_RATIO = 3.0

/** Upper bound of samples, so that one very long request does not make a target suspect. */
private const val MAX_LATENCY_RATIO = 10.0

/** Weight of the newest answer in the moving average of the latency ratio. */
private const val LATENCY_SAMPLE_WEIGHT = 0.25

/**
 * Delay before the first trial. A crashed server may restart within a third of a second; at
 * several crashes per second, longer delays keep more than a third of the targets out of service.
 */
private val INITIAL_TRIAL_DELAY: Duration = Duration.ofMillis(250)
private val MAX_TRIAL_DELAY: Duration = Duration.ofSeconds(16)
private const val MAX_TRIAL_DOUBLINGS = 6

/** A drain expires when no announcement has repeated it for this long. */
private val DRAIN_EXPIRY: Duration = Duration.ofSeconds(10)

/**
 * The health of a target, as seen in the results of its requests.
 *
 * [successes], [failures] and [sheds] count answers without a server error, consecutive failures
 * and consecutive refusals. [latencyRatio] is the moving average of its answer times relative to
 * the median of the service; 1.0 is usual. [scheduledTrials] counts the trials since the target
 * was last healthy. [dueAt] is the time of the next trial or the end of a drain, and
 * [drainAnnouncedAt] the time of the latest drain announcement.
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
    /** Whether the target said that it leaves, so that the drain does not expire. */
    private val isLeaving: Boolean get() = dueAt == Instant.MAX

    /** Whether the next trial is due, or the drain has expired. */
    public fun isDue(now: Instant): Boolean = now >= dueAt

    /** An answer without a server error arrived after [ratio] times the median answer time. */
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

    /**
     * A request failed with a server error, a broken connection or an invalid answer.
     *
     * A [conclusive] failure, such as a refused connection, counts at once; others count from the
     * second consecutive one. Without [mayEject] the target becomes suspect instead of ejected.
     */
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

    /** The target refused a request because its queue is full. */
    public fun shed(context: DecisionContext): TargetHealth {
        val next = copy(sheds = sheds + 1)
        return if (next.sheds < SHEDS_TO_SUSPECT) {
            next
        } else {
            next.copy(latencyRatio = MAX_LATENCY_RATIO).step(Trigger.Slow, context)
        }
    }

    /** Applies [trigger] to the chart `target-availability` and performs its effects. */
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
            copy(
                dueAt = if (isLeaving) dueAt else context.now.plus(DRAIN_EXPIRY),
                drainAnnouncedAt = context.now
            )
        Action.HoldLeaving -> copy(dueAt = Instant.MAX, drainAnnouncedAt = context.now)
        Action.ClearRecord -> copy(failures = 0, sheds = 0, scheduledTrials = 0, latencyRatio = 1.0)
    }

    /** Doubles with each trial; [jitter] keeps instances from trying at the same time. */
    private fun trialDelay(jitter: Double): Duration {
        val doubled = INITIAL_TRIAL_DELAY.multipliedBy(
            1L shl scheduledTrials.coerceAtMost(MAX_TRIAL_DOUBLINGS)
        )
        val bounded = minOf(doubled, MAX_TRIAL_DELAY)
        return Duration.ofNanos((bounded.toNanos() * (1 + jitter / 2)).toLong())
    }
}

/** Time and randomness of a decision. [jitter] is in `[0, 1)` and differs between instances. */
public data class DecisionContext(val now: Instant, val jitter: Double)
