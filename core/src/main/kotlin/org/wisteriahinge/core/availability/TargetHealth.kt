package org.wisteriahinge.core.availability

import java.time.Duration
import java.time.Instant
import org.wisteriahinge.core.availability.AvailabilityAction as Action
import org.wisteriahinge.core.availability.AvailabilityState as State
import org.wisteriahinge.core.availability.AvailabilityTrigger as Trigger

/** Good answers after which a cold target is warm. */
internal const val WARM_AFTER_ANSWERS = 4

/** Failures in a row that eject a warm target; one alone may be the request's own fault. */
private const val FAILURES_TO_EJECT = 2

/** Refusals in a row after which a target counts as slow; a single one only shows a full queue. */
private const val SHEDS_TO_SUSPECT = 4

/** Pace above which a target is suspect: answers take this many times the usual. */
private const val SLOW_PACE = 4.0

/** Pace of an answer that counts as recovered. */
private const val RECOVERED_PACE = 3.0

/** A sample counts at most this much, so that one very long request does not mark a target. */
private const val MAX_PACE = 10.0

/** Weight of the newest answer in the pace. */
private const val PACE_WEIGHT = 0.25

/**
 * A server that crashed may be back within a third of a second; with several crashes a second,
 * longer first waits keep more than a third of the targets out of service.
 */
private val FIRST_TRIAL: Duration = Duration.ofMillis(250)
private val LAST_TRIAL: Duration = Duration.ofSeconds(16)
private const val MAX_DOUBLINGS = 6

/** A drain that no source has repeated for this long has ended. */
private val DRAIN_HOLD: Duration = Duration.ofSeconds(10)

/**
 * What is known of a target's ability to serve.
 *
 * [pace] is the smoothed ratio of its answer times to the usual ones; 1.0 is usual. [until] is
 * the time of the next trial or the end of a drain, [drainSeenAt] the target's latest word of
 * it. [strikes] counts trials that did not help.
 */
public data class TargetHealth(
    val state: State = State.Cold,
    val goodAnswers: Int = 0,
    val failures: Int = 0,
    val sheds: Int = 0,
    val pace: Double = 1.0,
    val strikes: Int = 0,
    val until: Instant = Instant.EPOCH,
    val drainSeenAt: Instant = Instant.EPOCH
) {
    /** Whether a time that the state waits for has come. */
    public fun isDue(now: Instant): Boolean = now >= until

    /** An answer without a server error came after [ratio] times the usual time. */
    public fun answered(ratio: Double, moment: Moment): TargetHealth {
        val sample = ratio.coerceAtMost(MAX_PACE)
        val seen = copy(
            goodAnswers = goodAnswers + 1,
            failures = 0,
            sheds = 0,
            pace = pace + PACE_WEIGHT * (sample - pace)
        )
        return when {
            state == State.Suspect && sample < RECOVERED_PACE ->
                seen.step(Trigger.Recovered, moment)
            seen.pace > SLOW_PACE -> seen.step(Trigger.Slow, moment)
            seen.goodAnswers >= WARM_AFTER_ANSWERS -> seen.step(Trigger.Warmed, moment)
            else -> seen
        }
    }

    /** A server error or a broken connection. Only where [mayEject], the target is ejected. */
    public fun failed(moment: Moment, certain: Boolean, mayEject: Boolean): TargetHealth {
        val seen = copy(failures = failures + 1)
        val onTrial = state == State.Cold && strikes > 0
        return when {
            !certain && !onTrial && seen.failures < FAILURES_TO_EJECT -> seen
            mayEject -> seen.step(Trigger.Failing, moment)
            else -> seen.copy(pace = MAX_PACE).step(Trigger.Slow, moment)
        }
    }

    /** The target refused a request because it is full. */
    public fun shed(moment: Moment): TargetHealth {
        val seen = copy(sheds = sheds + 1)
        return if (seen.sheds < SHEDS_TO_SUSPECT) {
            seen
        } else {
            seen.copy(pace = MAX_PACE).step(Trigger.Slow, moment)
        }
    }

    /** Interprets [trigger] in the chart `target-availability`. */
    public fun step(trigger: Trigger, moment: Moment): TargetHealth {
        val step = availabilityChart.step(state, trigger)
        return step.effects.fold(copy(state = step.state)) { health, action ->
            health.perform(action, moment)
        }
    }

    private fun perform(action: Action, moment: Moment): TargetHealth = when (action) {
        Action.StartRamp -> copy(goodAnswers = 0, failures = 0, sheds = 0, pace = 1.0)
        Action.ScheduleTrial ->
            copy(strikes = strikes + 1, until = moment.now.plus(trialDelay(moment.spread)))
        Action.HoldDrain ->
            copy(until = moment.now.plus(DRAIN_HOLD), drainSeenAt = moment.now)
        Action.ClearRecord -> copy(failures = 0, sheds = 0, strikes = 0, pace = 1.0)
    }

    /** Doubles with each strike; [spread] keeps instances from trying at the same moment. */
    private fun trialDelay(spread: Double): Duration {
        val doubled = FIRST_TRIAL.multipliedBy(1L shl strikes.coerceAtMost(MAX_DOUBLINGS))
        val bounded = minOf(doubled, LAST_TRIAL)
        return Duration.ofNanos((bounded.toNanos() * (1 + spread / 2)).toLong())
    }
}

/** When a decision is made; [spread] is a draw between 0 and 1 that differs by instance. */
public data class Moment(val now: Instant, val spread: Double)
