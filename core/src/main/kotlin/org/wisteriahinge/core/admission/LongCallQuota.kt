package org.wisteriahinge.core.admission

import kotlinx.collections.immutable.PersistentSet
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.core.model.Service
import org.wisteriahinge.core.model.Target

/** Slots of each target that long calls may not use. */
private const val SLOTS_RESERVED_FOR_SHORT = 1

/**
 * How the slots that long calls may use are divided among the instances.
 *
 * Load reports are too old for this: an instance gets a few per second from a target, and two
 * instances that both see one free slot would fill it and the slot reserved for short calls.
 */
public sealed interface LongCallQuota {
    /** No peer is known; this instance uses the load of the targets. */
    public data object NoPeers : LongCallQuota

    /** This instance is at [position], from 0, in the sorted list of [count] live instances. */
    public data class Shared(val position: Int, val count: Int) : LongCallQuota

    public companion object {
        /** The quota of [self] among the [live] instances. */
        public fun among(live: PersistentSet<InstanceId>, self: InstanceId): LongCallQuota {
            val position = live.map { it.value }.sorted().indexOf(self.value)
            return if (position < 0 || live.size < 2) NoPeers else Shared(position, live.size)
        }
    }
}

/** Slots of this target for the long calls of all instances; at least one. */
internal val Target.longCallSlots: Int get() = maxOf(1, slots - SLOTS_RESERVED_FOR_SHORT)

/** Whether each instance gets at least one slot of [service] for long calls. */
internal fun LongCallQuota.Shared.coversAllInstances(service: Service): Boolean =
    service.targets.sumOf { it.longCallSlots } >= count

/**
 * Maximum number of long calls of this instance at the target with [index] in [service].
 *
 * The slots of all targets are assigned round-robin to the instances, in the order of the
 * operators' list, so that all instances compute the same division without messages.
 */
internal fun LongCallQuota.Shared.quotaAt(service: Service, index: Int): Int {
    val before = service.targets.take(index).sumOf { it.longCallSlots }
    val slots = before until before + service.targets[index].longCallSlots
    return slots.count { it % count == position }
}
