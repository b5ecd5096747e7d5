package org.wisteriahinge.core.routing

import java.time.Instant
import java.util.SplittableRandom
import kotlinx.collections.immutable.PersistentList
import org.wisteriahinge.core.availability.AvailabilityState
import org.wisteriahinge.core.availability.AvailabilityTrigger
import org.wisteriahinge.core.availability.Moment
import org.wisteriahinge.core.model.TargetId

/** Targets outside the preferred ones that are compared for each request of a large service. */
private const val OUTSIDE_DRAWS = 2

/** Chooses by [score]; on the best of the ejected targets only where nothing else is left. */
internal fun RoutingState.chooseByScore(
    request: RouteRequest,
    policy: RoutingPolicy.Wisteriahinge,
    now: Instant
): RouteChoice {
    val random = SplittableRandom(seed + choices)
    val moment = Moment(now, random.nextDouble())
    val all = byService[request.service] ?: return RouteChoice.NoTarget
    val search = Search(this, request, scoreContext(request, policy, now), moment)
    val best = search.best(request.among.toList())
        ?: search.best(candidates(request, all, policy, random))
        ?: search.best(all)
        ?: search.leastFailing(all)
        ?: return RouteChoice.NoTarget
    return RouteChoice.Chosen(chosen(best, moment), best.target)
}

private fun RoutingState.scoreContext(
    request: RouteRequest,
    policy: RoutingPolicy.Wisteriahinge,
    now: Instant
): ScoreContext {
    val pace = paces[request.service] ?: ServicePace()
    return ScoreContext(policy, zone, pace.millis, pace.reported, request.bodyBytes, now)
}

/** The [count] best targets for [request], the best first. */
internal fun RoutingState.ranked(
    request: RouteRequest,
    count: Int,
    now: Instant
): List<TargetView> = when (policy) {
    is RoutingPolicy.Wisteriahinge -> rankedByScore(request, policy, count, now)
    RoutingPolicy.RoundRobin,
    RoutingPolicy.Random,
    RoutingPolicy.LeastInFlight,
    RoutingPolicy.TwoChoices -> emptyList()
}

private fun RoutingState.rankedByScore(
    request: RouteRequest,
    policy: RoutingPolicy.Wisteriahinge,
    count: Int,
    now: Instant
): List<TargetView> {
    val random = SplittableRandom(seed + choices)
    val moment = Moment(now, random.nextDouble())
    val all = byService[request.service] ?: return emptyList()
    val search = Search(this, request, scoreContext(request, policy, now), moment)
    return search.best(candidates(request, all, policy, random), count)
}

/** Notes that the probes of [silent] were not answered in time. */
internal fun RoutingState.silent(silent: Set<TargetId>, now: Instant): RoutingState =
    silent.fold(this) { state, id ->
        state.updateTarget(id) { it.copy(silentSince = it.silentSince ?: now) }
    }

private fun RoutingState.candidates(
    request: RouteRequest,
    all: PersistentList<TargetId>,
    policy: RoutingPolicy.Wisteriahinge,
    random: SplittableRandom
): List<TargetId> {
    if (all.isEmpty()) return all
    if (policy.sampled > 0) return List(policy.sampled) { all[random.nextInt(all.size)] }
    val preferred = preferred[request.service] ?: all
    val rotated = random.nextInt(preferred.size).let { preferred.drop(it) + preferred.take(it) }
    if (preferred.size == all.size) return rotated
    return rotated + List(OUTSIDE_DRAWS) { all[random.nextInt(all.size)] }
}

/** Records that [view] was chosen: a suspect target's trial is used up. */
private fun RoutingState.chosen(view: TargetView, moment: Moment): RoutingState {
    val health = if (view.onTrial(moment.now)) {
        view.health.step(AvailabilityTrigger.TrialDue, moment)
    } else {
        view.health
    }
    val known = targets[view.target.id]
    if (known?.health == health) return copy(choices = choices + 1)
    val changed = view.copy(health = health)
    return copy(choices = choices + 1, targets = targets.put(view.target.id, changed))
}

private class Search(
    private val state: RoutingState,
    private val request: RouteRequest,
    private val context: ScoreContext,
    private val moment: Moment
) {
    fun best(ids: List<TargetId>): TargetView? = ids
        .mapNotNull { usable(it) }
        .filter { it.isEligible() }
        .minByOrNull { it.score(context) }

    fun best(ids: List<TargetId>, count: Int): List<TargetView> = ids
        .mapNotNull { usable(it) }
        .filter { it.isEligible() }
        .map { it to it.score(context) }
        .sortedBy { it.second }
        .take(count)
        .map { it.first }

    fun leastFailing(ids: List<TargetId>): TargetView? = ids
        .mapNotNull { usable(it) }
        .filter { it.health.state == AvailabilityState.Ejected }
        .minByOrNull { it.health.failures * it.target.slots.toDouble() + it.inFlight }

    private fun usable(id: TargetId): TargetView? = state.targets[id]
        ?.takeIf { id !in request.exclude && it.inFlight < state.connectionsPerTarget }
        ?.current()

    private fun TargetView.current(): TargetView = when (health.state) {
        AvailabilityState.Ejected -> afterWait(AvailabilityTrigger.TrialDue)
        AvailabilityState.Draining -> afterWait(AvailabilityTrigger.DrainExpired)
        AvailabilityState.Cold,
        AvailabilityState.Warm,
        AvailabilityState.Suspect,
        AvailabilityState.Gone -> this
    }

    private fun TargetView.afterWait(trigger: AvailabilityTrigger): TargetView =
        if (health.isDue(moment.now)) copy(health = health.step(trigger, moment)) else this
}

private fun TargetView.isEligible(): Boolean = when (health.state) {
    AvailabilityState.Cold,
    AvailabilityState.Warm,
    AvailabilityState.Suspect -> true
    AvailabilityState.Ejected,
    AvailabilityState.Draining,
    AvailabilityState.Gone -> false
}
