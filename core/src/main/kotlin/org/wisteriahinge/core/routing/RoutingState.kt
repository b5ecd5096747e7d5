package org.wisteriahinge.core.routing

import java.time.Instant
import kotlin.random.Random
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.toPersistentList
import org.wisteriahinge.core.model.AttemptId
import org.wisteriahinge.core.model.Entitlements
import org.wisteriahinge.core.model.LoadReport
import org.wisteriahinge.core.model.ServiceId
import org.wisteriahinge.core.model.Target
import org.wisteriahinge.core.model.TargetId
import org.wisteriahinge.core.model.Zone

/** An attempt in flight at a target. */
public data class AttemptAtTarget(val target: TargetId, val startedAt: Instant)

/**
 * What this instance knows of all targets, and how it chooses among them.
 *
 * [seed] and [choices] determine the random draws, so that equal states decide equally.
 */
public data class RoutingState(
    val policy: RoutingPolicy,
    val zone: Zone,
    val seed: Long,
    val choices: Long = 0,
    val targets: PersistentMap<TargetId, TargetView> = persistentHashMapOf(),
    val byService: PersistentMap<ServiceId, PersistentList<TargetId>> = persistentHashMapOf(),
    val attempts: PersistentMap<AttemptId, AttemptAtTarget> = persistentHashMapOf()
) {
    /** Takes over the targets of [entitlements]; views of targets that stay are kept. */
    public fun configured(entitlements: Entitlements): RoutingState {
        val views = entitlements.services.values.flatMap { service ->
            service.targets.map { target -> viewOf(service.id, target) }
        }
        return copy(
            targets = views.fold(persistentHashMapOf()) { map, view ->
                map.put(view.target.id, view)
            },
            byService = views.groupBy { it.service }
                .entries.fold(persistentHashMapOf()) { map, (service, members) ->
                    map.put(service, members.map { it.target.id }.toPersistentList())
                }
        )
    }

    private fun viewOf(service: ServiceId, target: Target): TargetView =
        targets[target.id]?.copy(service = service, target = target) ?: TargetView(service, target)

    /** Chooses a target for [request]. */
    public fun choose(request: RouteRequest): RouteChoice {
        val candidates = byService[request.service].orEmpty()
            .filter { it !in request.exclude }
            .mapNotNull { targets[it] }
        if (candidates.isEmpty()) return RouteChoice.NoTarget
        val chosen = pick(candidates)
        return RouteChoice.Chosen(copy(choices = choices + 1), chosen.target)
    }

    private fun pick(candidates: List<TargetView>): TargetView {
        val random = Random(seed + choices)
        return when (policy) {
            RoutingPolicy.RoundRobin -> candidates[(choices % candidates.size).toInt()]
            RoutingPolicy.Random -> candidates.random(random)
            RoutingPolicy.LeastInFlight -> candidates.shuffled(random).minBy { it.inFlight }
            RoutingPolicy.TwoChoices ->
                listOf(candidates.random(random), candidates.random(random)).minBy { it.inFlight }
        }
    }

    /** An attempt was sent to [target]. */
    public fun attemptStarted(attempt: AttemptId, target: TargetId, now: Instant): RoutingState =
        copy(attempts = attempts.put(attempt, AttemptAtTarget(target, now)))
            .updateTarget(target) { it.copy(inFlight = it.inFlight + 1) }

    /** The head of an answer or a failure of [attempt] was seen. */
    public fun attemptResult(attempt: AttemptId, result: AttemptResult): RoutingState {
        val at = attempts[attempt] ?: return this
        return result.load?.let { loadReported(at.target, it) } ?: this
    }

    /** [attempt] no longer occupies its target. */
    public fun attemptEnded(attempt: AttemptId): RoutingState {
        val at = attempts[attempt] ?: return this
        return copy(attempts = attempts.remove(attempt))
            .updateTarget(at.target) { it.copy(inFlight = it.inFlight - 1) }
    }

    /** Takes over a target's own report unless a newer one is known. */
    public fun loadReported(target: TargetId, load: LoadReport): RoutingState =
        updateTarget(target) { view ->
            val known = view.load
            if (known != null &&
                known.observedAt >= load.observedAt
            ) {
                view
            } else {
                view.copy(load = load)
            }
        }

    private fun updateTarget(id: TargetId, change: (TargetView) -> TargetView): RoutingState {
        val view = targets[id] ?: return this
        return copy(targets = targets.put(id, change(view)))
    }
}
