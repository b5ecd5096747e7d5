package org.wisteriahinge.core.routing

import java.time.Instant
import java.util.SplittableRandom
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.toPersistentList
import org.wisteriahinge.core.availability.AvailabilityState
import org.wisteriahinge.core.availability.TargetHealth
import org.wisteriahinge.core.model.AttemptId
import org.wisteriahinge.core.model.Entitlements
import org.wisteriahinge.core.model.LoadReport
import org.wisteriahinge.core.model.OperationId
import org.wisteriahinge.core.model.ServiceId
import org.wisteriahinge.core.model.Target
import org.wisteriahinge.core.model.TargetId
import org.wisteriahinge.core.model.Zone
import org.wisteriahinge.core.ratelimit.RateLimits

/** Most preferred targets of a service; bounds the cost of a decision. */
private const val MAX_PREFERRED = 24

/** The 250 connections of a target divided among the 18 instances of a deployment. */
private const val DEFAULT_CONNECTIONS_PER_TARGET = 13

private const val PERCENT = 100.0

/** An attempt in flight at [target]. */
public data class InFlightAttempt(
    val target: TargetId,
    val startedAt: Instant,
    val operation: OperationId
)

/**
 * The state of all targets as this instance knows it, and the choice among them.
 *
 * [choices] counts the choices made so far. Random draws depend only on [seed] and [choices], so
 * equal states make equal choices. [preferred] holds the targets that a service's requests are
 * compared by, and [connectionsPerTarget] bounds this instance's requests in flight at a target.
 */
public data class RoutingState(
    val policy: RoutingPolicy,
    val zone: Zone,
    val seed: Long,
    val choices: Long = 0,
    val targets: PersistentMap<TargetId, TargetView> = persistentHashMapOf(),
    val byService: PersistentMap<ServiceId, PersistentList<TargetId>> = persistentHashMapOf(),
    val attempts: PersistentMap<AttemptId, InFlightAttempt> = persistentHashMapOf(),
    val preferred: PersistentMap<ServiceId, PersistentList<TargetId>> = persistentHashMapOf(),
    val latencies: PersistentMap<ServiceId, ServiceLatency> = persistentHashMapOf(),
    val connectionsPerTarget: Int = DEFAULT_CONNECTIONS_PER_TARGET,
    val probePlan: ProbePlan = ProbePlan(),
    val announcedLoads: AnnouncedLoads = AnnouncedLoads(),
    val rateLimits: RateLimits = RateLimits()
) {
    /**
     * Replaces the targets by those of [entitlements]. The state of a target that is still listed
     * is kept. One that is no longer listed gets no new requests; it is removed when its last
     * request in flight ends.
     */
    public fun configured(entitlements: Entitlements): RoutingState {
        val listed = entitlements.services.values.flatMap { service ->
            service.targets.map { target -> viewOf(service.id, target) }
        }
        val listedIds = listed.map { it.target.id }.toSet()
        val leaving = targets.values
            .filter { it.target.id !in listedIds && it.inFlight > 0 }
            .map { it.copy(health = it.health.copy(state = AvailabilityState.Gone)) }
        val members = listed.groupBy { it.service }
        return copy(
            targets = (listed + leaving).fold(persistentHashMapOf()) { map, view ->
                map.put(view.target.id, view)
            },
            byService = members.entries.fold(persistentHashMapOf()) { map, (service, views) ->
                map.put(service, views.map { it.target.id }.toPersistentList())
            },
            preferred = members.entries.fold(persistentHashMapOf()) { map, (service, views) ->
                map.put(service, preferredOf(views))
            },
            rateLimits = rateLimits.retaining(listedIds)
        ).withProbesAssigned()
    }

    private fun viewOf(service: ServiceId, target: Target): TargetView {
        val known = targets[target.id] ?: return TargetView(service, target)
        val startedAnew = known.target.startedAt != target.startedAt
        val health = when (known.health.state) {
            AvailabilityState.Gone -> TargetHealth()
            AvailabilityState.Draining -> if (startedAnew) TargetHealth() else known.health
            AvailabilityState.Cold,
            AvailabilityState.Warm,
            AvailabilityState.Suspect,
            AvailabilityState.Ejected -> known.health
        }
        return known.copy(service = service, target = target, health = health)
    }

    /** Targets of the local zone first, then others, each in an order that differs by instance. */
    private fun preferredOf(views: List<TargetView>): PersistentList<TargetId> = views
        .sortedWith(
            compareBy(
                { it.target.zone != zone },
                { SplittableRandom(seed xor it.target.id.value.hashCode().toLong()).nextLong() }
            )
        )
        .take(MAX_PREFERRED)
        .map { it.target.id }
        .toPersistentList()

    /** Chooses a target for [request]. */
    public fun choose(request: TargetRequest, now: Instant): TargetChoice = when (policy) {
        is RoutingPolicy.LeastExpectedTime -> chooseByScore(request, policy, now)
        RoutingPolicy.RoundRobin -> chooseUnscored(request, now) { all, _ ->
            all[(choices % all.size).toInt()]
        }
        RoutingPolicy.Random -> chooseUnscored(request, now) { all, random ->
            all.randomElement(random)
        }
        RoutingPolicy.LeastInFlight -> chooseUnscored(request, now) { all, random ->
            val start = random.nextInt(all.size)
            (all.drop(start) + all.take(start)).minBy { it.inFlight }
        }
        RoutingPolicy.TwoChoices -> chooseUnscored(request, now) { all, random ->
            listOf(all.randomElement(random), all.randomElement(random)).minBy { it.inFlight }
        }
    }

    private fun chooseUnscored(
        request: TargetRequest,
        now: Instant,
        pick: (List<TargetView>, SplittableRandom) -> TargetView
    ): TargetChoice {
        val all = byService[request.service].orEmpty()
        val candidates = all
            .filter { it !in request.exclude && rateLimits.permits(it, request.urgency, now) }
            .mapNotNull { targets[it] }
        if (candidates.isEmpty()) return noneOf(request, all, now)
        val chosen = pick(candidates, SplittableRandom(seed + choices))
        return TargetChoice.Chosen(copy(choices = choices + 1), chosen.target)
    }

    private fun List<TargetView>.randomElement(random: SplittableRandom) =
        this[random.nextInt(size)]

    /** An attempt for [operation] was sent to [target]. */
    public fun attemptStarted(
        attempt: AttemptId,
        target: TargetId,
        operation: OperationId,
        now: Instant
    ): RoutingState =
        copy(attempts = attempts.put(attempt, InFlightAttempt(target, now, operation)))
            .copy(rateLimits = rateLimits.sent(target, now))
            .updateTarget(target) { view ->
                val waitingSince = if (view.inFlight == 0) now else view.lastProgressAt
                view.copy(inFlight = view.inFlight + 1, lastProgressAt = waitingSince)
            }

    /** The head of an answer to [attempt] arrived, or the attempt failed. */
    public fun attemptResult(
        attempt: AttemptId,
        result: AttemptResult,
        now: Instant
    ): RoutingState {
        val at = attempts[attempt] ?: return this
        val resultObserved = resultObserved(at, result, now)
        return result.load?.let { resultObserved.loadReported(at.target, it) } ?: resultObserved
    }

    /** [attempt] ended and no longer occupies a slot of its target. */
    public fun attemptEnded(attempt: AttemptId): RoutingState {
        val at = attempts[attempt] ?: return this
        return copy(attempts = attempts.remove(attempt))
            .updateTarget(at.target) { it.copy(inFlight = it.inFlight - 1) }
            .removeIfGone(at.target)
    }

    private fun removeIfGone(id: TargetId): RoutingState {
        val view = targets[id] ?: return this
        val finished = view.health.state == AvailabilityState.Gone && view.inFlight == 0
        return if (finished) copy(targets = targets.remove(id)) else this
    }

    /** Updates [target] with its own report unless a newer one is known. */
    public fun loadReported(target: TargetId, load: LoadReport): RoutingState = if (load.draining) {
        drainAnnounced(target, load.observedAt)
    } else {
        updateTarget(target) { it.withReport(load) }.paceReported(target, load)
    }

    private fun paceReported(target: TargetId, load: LoadReport): RoutingState {
        val pace = load.pacePercent ?: return this
        val service = targets[target]?.service ?: return this
        val known = latencies[service] ?: ServiceLatency()
        return copy(latencies = latencies.put(service, known.withReportedPace(pace / PERCENT)))
    }

    internal fun updateTarget(id: TargetId, change: (TargetView) -> TargetView): RoutingState {
        val view = targets[id] ?: return this
        return copy(targets = targets.put(id, change(view)))
    }
}
