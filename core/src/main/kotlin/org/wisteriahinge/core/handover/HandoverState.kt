package org.wisteriahinge.core.handover

import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.wisteriahinge.core.model.Address
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.core.model.ServiceId
import org.wisteriahinge.core.model.Zone

/** First and longest time for which an instance that took no call is not asked again. */
private val MIN_AVOIDANCE: Duration = Duration.ofMillis(500)
private val MAX_AVOIDANCE: Duration = Duration.ofSeconds(8)
private const val MAX_DOUBLINGS = 4

/** Whether calls that cannot reach their targets from here are handed over. */
public sealed interface HandoverPolicy {
    /** They are refused. */
    public data object Off : HandoverPolicy

    /** They go to another instance; this one is [self]. */
    public data class ToInstances(val self: InstanceId) : HandoverPolicy
}

/** Another instance, which takes calls at [address] from those that know its [token]. */
public data class PeerInstance(
    val id: InstanceId,
    val zone: Zone,
    val address: Address,
    val token: String
)

/** A service at another instance. */
public data class PeerService(val peer: InstanceId, val service: ServiceId)

/** A service that took no call at another instance, [times] in a row, and is avoided for a time. */
public data class Avoidance(val times: Int, val until: Instant)

/** What became of the last call of a service for which another instance was asked. */
public sealed interface PeerStanding {
    /** It took the call. */
    public data object Proven : PeerStanding

    /** It was not asked yet. */
    public data object Unknown : PeerStanding

    /** It did not take the call. */
    public data object Rejected : PeerStanding
}

/**
 * What this instance knows of its paths to the targets, and of the instances that may have others.
 *
 * [paths] holds the services of which a target failed to answer, and [answered] those of which a
 * target has answered since the start. [proven] are the services at other instances that took the
 * last call from here.
 */
public data class HandoverState(
    val policy: HandoverPolicy = HandoverPolicy.Off,
    val peers: PersistentMap<InstanceId, PeerInstance> = persistentHashMapOf(),
    val paths: PersistentMap<ServiceId, ServicePath> = persistentHashMapOf(),
    val answered: PersistentSet<ServiceId> = persistentSetOf(),
    val proven: PersistentSet<PeerService> = persistentSetOf(),
    val avoided: PersistentMap<PeerService, Avoidance> = persistentHashMapOf()
) {
    /** Whether no target of [service] can be reached from here. */
    public fun isLost(service: ServiceId): Boolean = paths[service]?.isLost == true

    /** Replaces the known instances. One that started anew is asked again. */
    internal fun listed(all: PersistentList<PeerInstance>): HandoverState {
        val next = all.fold(persistentHashMapOf<InstanceId, PeerInstance>()) { map, peer ->
            map.put(peer.id, peer)
        }
        val same = avoided.filterKeys { next[it.peer] != null && next[it.peer] == peers[it.peer] }
        return copy(
            peers = next,
            proven = proven.removeAll { next[it.peer] == null || next[it.peer] != peers[it.peer] },
            avoided = same.entries.fold(persistentHashMapOf()) { map, (key, value) ->
                map.put(key, value)
            }
        )
    }

    internal fun isAvoided(peer: InstanceId, service: ServiceId, now: Instant): Boolean =
        avoided[PeerService(peer, service)]?.let { it.until > now } == true

    /** What is known of [service] at [peer], whose avoidance is over or never began. */
    internal fun standingOf(peer: InstanceId, service: ServiceId): PeerStanding {
        val key = PeerService(peer, service)
        return when {
            key in proven -> PeerStanding.Proven
            key in avoided -> PeerStanding.Rejected
            else -> PeerStanding.Unknown
        }
    }

    /** [peer] took a call of [service]. */
    internal fun accepted(peer: InstanceId, service: ServiceId): HandoverState {
        val key = PeerService(peer, service)
        return copy(proven = proven.add(key), avoided = avoided.remove(key))
    }

    /** [peer] took no call of [service], did not answer, or hands such calls over itself. */
    internal fun rejected(peer: InstanceId, service: ServiceId, now: Instant): HandoverState {
        val key = PeerService(peer, service)
        val times = (avoided[key]?.times ?: 0) + 1
        val doubled = MIN_AVOIDANCE.multipliedBy(1L shl (times - 1).coerceAtMost(MAX_DOUBLINGS))
        val until = now + minOf(doubled, MAX_AVOIDANCE)
        return copy(
            proven = proven.remove(key),
            avoided = avoided.put(key, Avoidance(times, until))
        )
    }
}
