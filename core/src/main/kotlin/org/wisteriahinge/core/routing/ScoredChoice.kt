package org.wisteriahinge.core.routing

import java.time.Instant
import java.util.SplittableRandom
import kotlinx.collections.immutable.PersistentList
import org.wisteriahinge.core.availability.AvailabilityState
import org.wisteriahinge.core.availability.AvailabilityTrigger
import org.wisteriahinge.core.availability.DecisionContext
import org.wisteriahinge.core.model.TargetId

/** Random targets compared with the preferred ones, for services with more than those. */
private const val EXTRA_CANDIDATES = 2

/** Chooses the target with the lowest [score]; an ejected one only if no other is usable. */
internal fun RoutingState.chooseByScore(
    request: TargetRequest,
    policy: RoutingPolicy.LeastExpectedTime,
    now: Instant
): TargetChoice {
    val random = SplittableRandom(seed + choices)
    val decisionContext = DecisionContext(now, random.nextDouble())
    val all = byService[request.service] ?: return TargetChoice.NoTarget
    val search = CandidateSearch(this, request, scoreContext(request, policy, now), decisionContext)
    val best = search.best(request.among.toList())
        ?: search.best(candidates(request, all, policy, random))
        ?: search.best(all)
        ?: search.leastFailingEjected(all)
        ?: return noneOf(request, all, now)
    return TargetChoice.Chosen(withChoice(best, decisionContext), best.target)
}

private fun RoutingState.scoreContext(
    request: TargetRequest,
    policy: RoutingPolicy.LeastExpectedTime,
    now: Instant
): ScoreContext {
    val latency = latencies[request.service] ?: ServiceLatency()
    return ScoreContext(
        policy,
        zone,
        latency.overallMedianMillis,
        latency.meanReportedPace,
        request.bodyBytes,
        now
    )
}

/** The [count] best targets for [request], best first; empty for policies without a score. */
internal fun RoutingState.ranked(
    request: TargetRequest,
    count: Int,
    now: Instant
): List<TargetView> = when (policy) {
    is RoutingPolicy.LeastExpectedTime -> rankedByScore(request, policy, count, now)
    RoutingPolicy.RoundRobin,
    RoutingPolicy.Random,
    RoutingPolicy.LeastInFlight,
    RoutingPolicy.TwoChoices -> emptyList()
}

private fun RoutingState.rankedByScore(
    request: TargetRequest,
    policy: RoutingPolicy.LeastExpectedTime,
    count: Int,
    now: Instant
): List<TargetView> {
    val random = SplittableRandom(seed + choices)
    val decisionContext = DecisionContext(now, random.nextDouble())
    val all = byService[request.service] ?: return emptyList()
    val search = CandidateSearch(this, request, scoreContext(request, policy, now), decisionContext)
    return search.ranked(candidates(request, all, policy, random), count)
}

/** Marks the targets in [timedOut] as unresponsive, because they did not answer a probe in time. */
internal fun RoutingState.probesTimedOut(timedOut: Set<TargetId>, now: Instant): RoutingState =
    timedOut.fold(this) { state, id ->
        state.updateTarget(id) { it.copy(unresponsiveSince = it.unresponsiveSince ?: now) }
    }

private fun RoutingState.candidates(
    request: TargetRequest,
    all: PersistentList<TargetId>,
    policy: RoutingPolicy.LeastExpectedTime,
    random: SplittableRandom
): List<TargetId> {
    if (all.isEmpty()) return all
    if (policy.sampleSize > 0) return List(policy.sampleSize) { all[random.nextInt(all.size)] }
    val preferred = preferred[request.service] ?: all
    val rotated = random.nextInt(preferred.size).let { preferred.drop(it) + preferred.take(it) }
    if (preferred.size == all.size) return rotated
    return rotated + List(EXTRA_CANDIDATES) { all[random.nextInt(all.size)] }
}

/** Records the choice of [view]. For a suspect target it starts the wait for the next trial. */
private fun RoutingState.withChoice(
    view: TargetView,
    decisionContext: DecisionContext
): RoutingState {
    val health = if (view.isTrialDue(decisionContext.now)) {
        view.health.step(AvailabilityTrigger.TrialDue, decisionContext)
    } else {
        view.health
    }
    val known = targets[view.target.id]
    if (known?.health == health) return copy(choices = choices + 1)
    val changed = view.copy(health = health)
    return copy(choices = choices + 1, targets = targets.put(view.target.id, changed))
}

private class CandidateSearch(
    private val state: RoutingState,
    private val request: TargetRequest,
    private val context: ScoreContext,
    private val decisionContext: DecisionContext
) {
    /**
     * The lower score first. Of equal targets the one whose rate limit allows a request now,
     * because permits that are not used in time are lost to the callers of all instances.
     */
    private val bestFirst = compareBy<Pair<TargetView, Double>>(
        { it.second },
        { it.first.target.id !in state.rateLimits.byTarget }
    )

    /**
     * While targets name rate limits, one that was never heard of comes last: it may have a limit
     * that other instances use up.
     */
    private val askedFirst = compareBy<Pair<TargetView, Double>> {
        it.first.load == null && state.rateLimits.byTarget.isNotEmpty()
    }

    fun best(ids: List<TargetId>): TargetView? = ids
        .mapNotNull { usable(it) }
        .filter { it.isEligible() }
        .map { it to it.score(context) }
        .minWithOrNull(askedFirst.then(bestFirst))
        ?.first

    fun ranked(ids: List<TargetId>, count: Int): List<TargetView> = ids
        .mapNotNull { usable(it) }
        .filter { it.isEligible() }
        .map { it to it.score(context) }
        .sortedWith(bestFirst)
        .take(count)
        .map { it.first }

    fun leastFailingEjected(ids: List<TargetId>): TargetView? = ids
        .mapNotNull { usable(it) }
        .filter { it.health.state == AvailabilityState.Ejected }
        .minByOrNull { it.health.failures * it.target.slots.toDouble() + it.inFlight }

    private fun usable(id: TargetId): TargetView? = state.targets[id]
        ?.takeIf { id !in request.exclude && it.inFlight < state.connectionsPerTarget }
        ?.takeIf { state.rateLimits.permits(id, request.urgency, decisionContext.now) }
        ?.current()

    private fun TargetView.current(): TargetView = when (health.state) {
        AvailabilityState.Ejected -> steppedIfDue(AvailabilityTrigger.TrialDue)
        AvailabilityState.Draining -> steppedIfDue(AvailabilityTrigger.DrainExpired)
        AvailabilityState.Cold,
        AvailabilityState.Warm,
        AvailabilityState.Suspect,
        AvailabilityState.Gone -> this
    }

    private fun TargetView.steppedIfDue(trigger: AvailabilityTrigger): TargetView =
        if (health.isDue(decisionContext.now)) {
            copy(health = health.step(trigger, decisionContext))
        } else {
            this
        }
}

private fun TargetView.isEligible(): Boolean = when (health.state) {
    AvailabilityState.Cold,
    AvailabilityState.Warm,
    AvailabilityState.Suspect -> true
    AvailabilityState.Ejected,
    AvailabilityState.Draining,
    AvailabilityState.Gone -> false
}
