package org.wisteriahinge.core.handover

import java.time.Instant
import java.util.SplittableRandom
import org.wisteriahinge.core.availability.AvailabilityState
import org.wisteriahinge.core.availability.TargetHealth
import org.wisteriahinge.core.call.AttemptFailure
import org.wisteriahinge.core.call.CallEvent
import org.wisteriahinge.core.call.CallsDecision
import org.wisteriahinge.core.call.CallsState
import org.wisteriahinge.core.call.sendProbe
import org.wisteriahinge.core.model.ServiceId
import org.wisteriahinge.core.model.TargetId

/** Targets that are probed at a time to test whether a lost service is reachable again. */
private const val TRIAL_PROBES = 3

/** Updates the path to the service of the target that [event] is about. */
internal fun CallsState.observePath(event: CallEvent, now: Instant): CallsDecision =
    when (handover.policy) {
        HandoverPolicy.Off -> CallsDecision(this)
        is HandoverPolicy.ToInstances -> observe(event, now)
    }

private fun CallsState.observe(event: CallEvent, now: Instant): CallsDecision = when (event) {
    is CallEvent.Answered -> targetAnswered(routing.attempts[event.attemptId]?.target, now)
    is CallEvent.LoadReported -> targetAnswered(event.targetId, now)
    is CallEvent.ProbeFailed ->
        if (event.statement == null) {
            targetUnanswered(event.target, Unanswered.Silently, now)
        } else {
            targetAnswered(event.target, now)
        }
    is CallEvent.AttemptFailed -> observeFailure(event, now)
    is CallEvent.Arrived,
    is CallEvent.Completed,
    is CallEvent.Truncated,
    is CallEvent.CallerGone,
    is CallEvent.CrashEvent,
    is CallEvent.PeerLoads,
    is CallEvent.QuotaEvent,
    is CallEvent.MembersChanged,
    is CallEvent.DutyDecision,
    is CallEvent.ClocksCompared,
    CallEvent.Ticked -> CallsDecision(this)
}

private fun CallsState.observeFailure(event: CallEvent.AttemptFailed, now: Instant): CallsDecision {
    val target = routing.attempts[event.attemptId]?.target
    return when (event.failure) {
        AttemptFailure.Shed,
        AttemptFailure.TargetDraining,
        AttemptFailure.WrongTarget,
        AttemptFailure.Truncated,
        AttemptFailure.InvalidAnswer -> targetAnswered(target, now)
        AttemptFailure.ConnectFailed,
        AttemptFailure.Disconnected -> targetUnanswered(target, Unanswered.Conclusively, now)
        AttemptFailure.TimedOut -> targetUnanswered(target, Unanswered.Silently, now)
        AttemptFailure.NotSent,
        AttemptFailure.HandoverDeclined,
        AttemptFailure.HandoverFailed -> CallsDecision(this)
    }
}

private fun CallsState.targetAnswered(target: TargetId?, now: Instant): CallsDecision {
    val service = target?.let { routing.targets[it] }?.service ?: return CallsDecision(this)
    if (service !in handover.answered) {
        return copy(handover = handover.copy(answered = handover.answered.add(service)))
            .targetAnswered(target, now)
    }
    val path = handover.paths[service] ?: return CallsDecision(this)
    return applyPath(service, path.answered(now), now)
}

/** Records that the target did not answer a request or a probe. */
internal fun CallsState.targetUnanswered(
    target: TargetId?,
    how: Unanswered,
    now: Instant
): CallsDecision = when (handover.policy) {
    HandoverPolicy.Off -> CallsDecision(this)
    is HandoverPolicy.ToInstances -> recordUnanswered(target, how, now)
}

private fun CallsState.recordUnanswered(
    target: TargetId?,
    how: Unanswered,
    now: Instant
): CallsDecision {
    val service = target?.let { routing.targets[it] }?.service ?: return CallsDecision(this)
    // A process that has just started is slow itself, so that targets seem silent.
    if (how == Unanswered.Silently && service !in handover.answered) return CallsDecision(this)
    val path = handover.paths[service] ?: ServicePath()
    val targets = routing.byService[service].orEmpty().size
    return applyPath(service, path.unanswered(target, how, targets, now), now)
}

/** Probes some targets of a lost [service] if a trial is due. */
internal fun CallsState.tryPath(service: ServiceId, now: Instant): CallsDecision {
    val path = handover.paths[service] ?: return CallsDecision(this)
    return applyPath(service, path.trialDue(now), now)
}

private fun CallsState.applyPath(
    service: ServiceId,
    decision: PathDecision,
    now: Instant
): CallsDecision {
    val paths = if (decision.path == ServicePath()) {
        handover.paths.remove(service)
    } else {
        handover.paths.put(service, decision.path)
    }
    val failed = handover.paths[service]?.failed.orEmpty()
    val next = CallsDecision(copy(handover = handover.copy(paths = paths)))
    return decision.actions.fold(next) { all, action ->
        when (action) {
            PathAction.ProbeTargets -> all.then { it.probeForTrial(service, now) }
            PathAction.RestoreTargets -> all.update { it.restoreTargets(failed) }
            PathAction.RecordDoubt, PathAction.ClearEvidence, PathAction.ScheduleTrial -> all
        }
    }
}

private fun CallsState.probeForTrial(service: ServiceId, now: Instant): CallsDecision {
    val listed = routing.byService[service].orEmpty().mapNotNull { routing.targets[it] }
        .filter { it.health.state != AvailabilityState.Draining }
        .filterNot { routing.rateLimits.isPaused(it.target.id, now) }
    if (listed.isEmpty()) return CallsDecision(this)
    val first = SplittableRandom(routing.seed xor now.toEpochMilli()).nextInt(listed.size)
    return (listed.drop(first) + listed.take(first)).take(TRIAL_PROBES)
        .fold(CallsDecision(this)) { all, view -> all.then { it.sendProbe(view.target) } }
}

/** Their failures were those of the path, so that these targets need no trial of their own. */
private fun CallsState.restoreTargets(failed: Collection<TargetId>): CallsState {
    val restored = failed.fold(routing) { all, id ->
        all.updateTarget(id) { view ->
            when (view.health.state) {
                AvailabilityState.Suspect, AvailabilityState.Ejected ->
                    view.copy(health = TargetHealth(), unresponsiveSince = null)
                AvailabilityState.Cold, AvailabilityState.Warm ->
                    view.copy(unresponsiveSince = null)
                AvailabilityState.Draining, AvailabilityState.Gone -> view
            }
        }
    }
    return copy(routing = restored)
}
