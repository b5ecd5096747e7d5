package org.wisteriahinge.core.handover

import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.wisteriahinge.core.model.TargetId

/** Targets that fail one after the other, with no answer of any, before a service is lost. */
private const val TARGETS_TO_LOSE = 3

/**
 * Time without an answer after which silence counts. A process that was not scheduled for a while
 * sees silent targets too, until it reads their answers.
 */
private val MIN_SILENCE: Duration = Duration.ofMillis(100)

/** Pause between probes that test whether the targets of a lost service are reachable again. */
private val TRIAL_PERIOD: Duration = Duration.ofMillis(250)

/** How a target failed to answer. */
internal sealed interface Unanswered {
    /** Its connection was refused, reset or could not be made. */
    data object Conclusively : Unanswered

    /** It has not reacted yet. */
    data object Silently : Unanswered
}

/**
 * Whether this instance can reach the targets of one service, in the chart `service-path`.
 *
 * [failed] are the targets that have failed since one of them last answered, the first of them at
 * [doubtfulSince]. While the service is lost, a probe is due at [trialAt].
 */
public data class ServicePath(
    val state: PathState = PathState.Reachable,
    val failed: PersistentSet<TargetId> = persistentSetOf(),
    val doubtfulSince: Instant = Instant.MAX,
    val trialAt: Instant = Instant.MAX
) {
    /** Whether no target can be reached. */
    public val isLost: Boolean get() = state == PathState.Unreachable

    internal fun answered(now: Instant): PathDecision = step(PathTrigger.Answered, now)

    /** [target], one of [targets] of the service, has not answered. */
    internal fun unanswered(
        target: TargetId,
        how: Unanswered,
        targets: Int,
        now: Instant
    ): PathDecision {
        val doubted = copy(failed = failed.add(target)).step(PathTrigger.Unanswered, now)
        val path = doubted.path
        val silence = Duration.between(path.doubtfulSince, now)
        val isEvident = how == Unanswered.Conclusively || silence >= MIN_SILENCE
        val isLost = isEvident && path.failed.size >= minOf(TARGETS_TO_LOSE, targets)
        return if (isLost) path.step(PathTrigger.Lost, now) else doubted
    }

    internal fun trialDue(now: Instant): PathDecision =
        if (now >= trialAt) step(PathTrigger.TrialDue, now) else PathDecision(this, emptyList())

    private fun step(trigger: PathTrigger, now: Instant): PathDecision {
        val step = servicePathChart.step(state, trigger)
        val path = step.effects.fold(copy(state = step.state)) { path, action ->
            path.perform(action, now)
        }
        return PathDecision(path, step.effects)
    }

    private fun perform(action: PathAction, now: Instant): ServicePath = when (action) {
        PathAction.RecordDoubt -> copy(doubtfulSince = now)
        PathAction.ClearEvidence ->
            copy(failed = persistentSetOf(), doubtfulSince = Instant.MAX, trialAt = Instant.MAX)
        PathAction.ScheduleTrial -> copy(trialAt = now + TRIAL_PERIOD)
        // Decided on with the state of all targets.
        PathAction.ProbeTargets, PathAction.RestoreTargets -> this
    }
}

/** The next state of a path and the [actions] of the transition that led to it. */
internal data class PathDecision(val path: ServicePath, val actions: List<PathAction>)
