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
import org.wisteriahinge.core.availability.DecisionContext
import org.wisteriahinge.core.membership.TargetLoad
import org.wisteriahinge.core.membership.TargetNotice
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.core.model.LoadReport
import org.wisteriahinge.core.model.TargetId

/** Shortest time between two collections; heartbeats are sent once a second. */
private val COLLECTION_PERIOD: Duration = Duration.ofMillis(250)

/** Most targets in one collection. A heartbeat carries fewer; the rest follows in later ones. */
private const val MAX_ANNOUNCED_LOADS = 32

/** Connections that a target accepts from all instances together. */
private const val TARGET_CONNECTIONS = 250

/** The target states that this instance last announced to its peers. */
public data class AnnouncedLoads(
    val collectedAt: Instant = Instant.EPOCH,
    val loads: PersistentList<TargetLoad> = persistentListOf()
)

/** Redistributes connections and probes after the set of [live] instances changed. */
internal fun RoutingState.membersChanged(
    self: InstanceId,
    live: PersistentSet<InstanceId>
): RoutingState = copy(
    probePlan = probePlan.withMembers(self, live),
    connectionsPerTarget = (TARGET_CONNECTIONS / live.size.coerceAtLeast(1)).coerceAtLeast(1)
).withProbesAssigned()

internal fun RoutingState.withProbesAssigned(): RoutingState = copy(
    probePlan = probePlan.forTargets(byService.values.flatten().mapNotNull { targets[it]?.target })
)

/** Merges the target states that a peer announced in a heartbeat. */
internal fun RoutingState.peerReported(
    loads: PersistentList<TargetLoad>,
    now: Instant
): RoutingState = loads.fold(this) { routing, load -> routing.peerReported(load, now) }

private fun RoutingState.peerReported(load: TargetLoad, now: Instant): RoutingState {
    val announcedAt = now.minusMillis(load.ageMillis)
    return when (load.notice) {
        TargetNotice.None ->
            loadReported(load.target, LoadReport(load.inFlight, load.slots, announcedAt))
        TargetNotice.Draining -> drainAnnounced(load.target, announcedAt)
    }
}

/** [target] announced at [announcedAt] that it drains. A later announcement extends the drain. */
internal fun RoutingState.drainAnnounced(target: TargetId, announcedAt: Instant): RoutingState =
    updateTarget(target) { view ->
        val known = view.health
        val newer =
            known.state != AvailabilityState.Draining || announcedAt > known.drainAnnouncedAt
        val draining = known.step(
            AvailabilityTrigger.DrainAnnounced,
            DecisionContext(announcedAt, jitter())
        )
        if (newer) view.copy(health = draining) else view
    }

/**
 * [target] said in an answer that it leaves. It gets nothing until it is listed as started anew, or
 * removed.
 */
internal fun RoutingState.leavingAnnounced(target: TargetId, now: Instant): RoutingState =
    updateTarget(target) { view ->
        val context = DecisionContext(now, jitter())
        view.copy(health = view.health.step(AvailabilityTrigger.LeavingAnnounced, context))
    }

private fun RoutingState.jitter(): Double = SplittableRandom(seed xor choices).nextDouble()

/**
 * The result of [collectPeerLoads]. [loads] is what to announce; null if it is too early for a new
 * collection, or if there was and is nothing to announce.
 */
internal data class CollectedLoads(
    val routing: RoutingState,
    val loads: PersistentList<TargetLoad>?
)

/** Collects the target states that peers should learn, newest first. */
internal fun RoutingState.collectPeerLoads(now: Instant): CollectedLoads {
    if (Duration.between(announcedLoads.collectedAt, now) < COLLECTION_PERIOD) {
        return CollectedLoads(this, null)
    }
    val loads = targets.values
        .mapNotNull { it.announcementAt(now) }
        .sortedBy { it.ageMillis }
        .take(MAX_ANNOUNCED_LOADS)
        .toPersistentList()
    val next = copy(announcedLoads = announcedLoads.copy(collectedAt = now, loads = loads))
    val unchanged = loads.isEmpty() && announcedLoads.loads.isEmpty()
    return CollectedLoads(next, loads.takeUnless { unchanged })
}

/**
 * The state of this target to announce; null for none. A drain is announced with the age of the
 * target's own announcement, so that it expires when the target stops repeating it.
 */
private fun TargetView.announcementAt(now: Instant): TargetLoad? = when (health.state) {
    AvailabilityState.Draining -> drainAnnouncement(now).takeUnless { health.isDue(now) }
    AvailabilityState.Ejected,
    AvailabilityState.Cold,
    AvailabilityState.Warm,
    AvailabilityState.Suspect,
    AvailabilityState.Gone -> null
}

private fun TargetView.drainAnnouncement(now: Instant): TargetLoad {
    val ageMillis = Duration.between(health.drainAnnouncedAt, now).toMillis().coerceAtLeast(0)
    return TargetLoad(
        target.id,
        load?.inFlight ?: 0,
        target.slots,
        ageMillis,
        TargetNotice.Draining
    )
}
