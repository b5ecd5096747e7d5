package org.wisteriahinge.core.routing

import java.time.Duration
import java.time.Instant
import java.util.SplittableRandom
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentSet
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

/** Entries in the news; heartbeats carry fewer, and the rest follows in later ones. */
private const val MAX_NEWS = 32

/** Connections that a target accepts from all instances together. */
private const val CONNECTIONS_OF_TARGET = 250

/** What this instance last told its peers, and when it collected it. */
public data class PeerKnowledge(
    val collectedAt: Instant = Instant.EPOCH,
    val told: PersistentList<TargetLoad> = persistentListOf()
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

/** Takes over what a peer knows of targets. */
internal fun RoutingState.peerReported(
    loads: PersistentList<TargetLoad>,
    now: Instant
): RoutingState = loads.fold(this) { routing, load -> routing.peerReported(load, now) }

private fun RoutingState.peerReported(load: TargetLoad, now: Instant): RoutingState {
    val seenAt = now.minusMillis(load.ageMillis)
    return when (load.notice) {
        TargetNotice.None ->
            loadReported(load.target, LoadReport(load.inFlight, load.slots, seenAt))
        TargetNotice.Draining -> drainSeen(load.target, seenAt)
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
 * longer says so.
 */
private fun TargetView.newsAt(now: Instant): TargetLoad? = when (health.state) {
    AvailabilityState.Draining -> drainNews(now).takeUnless { health.isDue(now) }
    AvailabilityState.Ejected,
    AvailabilityState.Cold,
    AvailabilityState.Warm,
    AvailabilityState.Suspect,
    AvailabilityState.Gone -> null
}

private fun TargetView.drainNews(now: Instant): TargetLoad {
    val ageMillis = Duration.between(health.drainSeenAt, now).toMillis().coerceAtLeast(0)
    return TargetLoad(
        target.id,
        load?.inFlight ?: 0,
        target.slots,
        ageMillis,
        TargetNotice.Draining
    )
}
