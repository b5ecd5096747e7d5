package org.wisteriahinge.core.routing

import java.time.Duration
import java.time.Instant
import java.util.SplittableRandom
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.wisteriahinge.core.availability.AvailabilityState
import org.wisteriahinge.core.availability.AvailabilityTrigger
import org.wisteriahinge.core.availability.Moment
import org.wisteriahinge.core.membership.TargetLoad
import org.wisteriahinge.core.membership.TargetNotice
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.core.model.LoadReport
import org.wisteriahinge.core.model.TargetId

/** Period at which the news for peers are collected; heartbeats carry them each second. */
private val NEWS_PERIOD: Duration = Duration.ofMillis(250)

/** Time for which a peer's word that a target fails counts. */
private val WITNESS_HOLD: Duration = Duration.ofSeconds(5)

/** Entries in the news; heartbeats carry fewer, and the rest follows in later ones. */
private const val MAX_NEWS = 32

/** Connections that a target accepts from all instances together. */
private const val CONNECTIONS_OF_TARGET = 250

/** What this instance last told its peers, and which peers say that a target fails. */
public data class PeerKnowledge(
    val collectedAt: Instant = Instant.EPOCH,
    val told: PersistentList<TargetLoad> = persistentListOf(),
    val witnesses: PersistentMap<TargetId, PersistentMap<InstanceId, Instant>> =
        persistentHashMapOf()
)

/** The instances that take part changed: shares of connections and probes follow. */
internal fun RoutingState.membersChanged(
    self: InstanceId,
    live: PersistentSet<InstanceId>
): RoutingState = copy(
    probing = probing.withMembers(self, live),
    connectionsPerTarget = (CONNECTIONS_OF_TARGET / live.size.coerceAtLeast(1)).coerceAtLeast(1)
).withProbesAssigned()

internal fun RoutingState.withProbesAssigned(): RoutingState = copy(
    probing = probing.assignedTo(byService.values.flatten().mapNotNull { targets[it]?.target })
)

/** Takes over what the peer [from] knows of targets. */
internal fun RoutingState.peerReported(
    from: InstanceId,
    loads: PersistentList<TargetLoad>,
    now: Instant
): RoutingState = loads.fold(this) { routing, load -> routing.peerReported(from, load, now) }

private fun RoutingState.peerReported(
    from: InstanceId,
    load: TargetLoad,
    now: Instant
): RoutingState {
    val seenAt = now.minusMillis(load.ageMillis)
    return when (load.notice) {
        TargetNotice.None ->
            loadReported(load.target, LoadReport(load.inFlight, load.slots, seenAt))
        TargetNotice.Draining -> drainSeen(load.target, seenAt)
        TargetNotice.Failing -> witnessed(from, load.target, now)
    }
}

/** A target said at [seenAt] that it drains; later news of the same drain prolong it. */
internal fun RoutingState.drainSeen(target: TargetId, seenAt: Instant): RoutingState =
    updateTarget(target) { view ->
        val known = view.health
        val newer = known.state != AvailabilityState.Draining || seenAt > known.drainSeenAt
        val step = known.step(AvailabilityTrigger.DrainAnnounced, Moment(seenAt, spread()))
        if (newer) view.copy(health = step) else view
    }

private fun RoutingState.spread(): Double = SplittableRandom(seed xor choices).nextDouble()

/** Ejects [target] once enough peers agree; the policy says how many, 0 for never. */
private fun RoutingState.witnessed(from: InstanceId, target: TargetId, now: Instant): RoutingState {
    val needed = (policy as? RoutingPolicy.Wisteriahinge)?.witnesses ?: 0
    val view = targets[target]
    if (needed == 0 || view == null) return this
    val recent = knowledge.witnesses[target].orEmpty()
        .filterValues { Duration.between(it, now) < WITNESS_HOLD }
        .entries.fold(persistentHashMapOf<InstanceId, Instant>()) { all, (id, at) ->
            all.put(id, at)
        }
        .put(from, now)
    val noted = copy(
        knowledge = knowledge.copy(witnesses = knowledge.witnesses.put(target, recent))
    )
    if (recent.size < needed || !mayEject(view.service)) return noted
    val ejected = view.health.step(AvailabilityTrigger.Failing, Moment(now, spread()))
    return noted.updateTarget(target) { it.copy(health = ejected) }
}

/** News for the peers; null where the previous ones are still right. */
internal data class News(val routing: RoutingState, val loads: PersistentList<TargetLoad>?)

internal fun RoutingState.collectNews(now: Instant): News {
    if (Duration.between(knowledge.collectedAt, now) < NEWS_PERIOD) return News(this, null)
    val loads = targets.values
        .mapNotNull { it.newsAt(now) }
        .sortedBy { it.ageMillis }
        .take(MAX_NEWS)
        .toPersistentList()
    val next = copy(knowledge = knowledge.copy(collectedAt = now, told = loads))
    val unchanged = loads.isEmpty() && knowledge.told.isEmpty()
    return News(next, loads.takeUnless { unchanged })
}

/**
 * Drains are passed on with the age of the target's own word, so that they end when the target no
 * longer says so. Failures are told only by the instance that saw them.
 */
private fun TargetView.newsAt(now: Instant): TargetLoad? = when (health.state) {
    AvailabilityState.Draining -> news(TargetNotice.Draining, health.drainSeenAt, now)
    AvailabilityState.Ejected -> news(TargetNotice.Failing, lastEventAt, now)
    AvailabilityState.Cold,
    AvailabilityState.Warm,
    AvailabilityState.Suspect,
    AvailabilityState.Gone -> null
}

private fun TargetView.news(notice: TargetNotice, seenAt: Instant, now: Instant): TargetLoad? {
    if (notice == TargetNotice.Draining && health.isDue(now)) return null
    val ageMillis = Duration.between(seenAt, now).toMillis().coerceAtLeast(0)
    return TargetLoad(target.id, load?.inFlight ?: 0, target.slots, ageMillis, notice)
}
