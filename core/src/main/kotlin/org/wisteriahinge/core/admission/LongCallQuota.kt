package org.wisteriahinge.core.admission

import kotlinx.collections.immutable.PersistentSet
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.core.model.Service
import org.wisteriahinge.core.model.Target

/** Slots of a target that long work leaves to short work. */
private const val SLOTS_RESERVED_FOR_SHORT = 1

/**
 * How the slots that long work may take are divided among the instances.
 *
 * Load reports are too old to divide them: an instance hears from a target a few times a second,
 * and two instances that both see a free slot would fill it and the slot kept for short work.
 */
public sealed interface LongCallQuota {
    /** No peer is known; this instance goes by the load of the targets. */
    public data object NoPeers : LongCallQuota

    /** This instance is at [position], from 0, in the sorted list of [count] live instances. */
    public data class Shared(val position: Int, val count: Int) : LongCallQuota

    public companion object {
        /** The part of [self] among the [live] instances. */
        public fun among(live: PersistentSet<InstanceId>, self: InstanceId): LongCallQuota {
            val position = live.map { it.value }.sorted().indexOf(self.value)
            return if (position < 0 || live.size < 2) NoPeers else Shared(position, live.size)
        }
    }
}

/** Slots of this target that long work may take over all instances; one where it has only one. */
internal val Target.longCallSlots: Int get() = maxOf(1, slots - SLOTS_RESERVED_FOR_SHORT)

/** Whether each instance gets at least one slot of [service] for long work. */
internal fun LongCallQuota.Shared.coversAllInstances(service: Service): Boolean =
    service.targets.sumOf { it.longCallSlots } >= count

/**
 * Long calls that this instance may have at the target with the index [index] of [service].
 *
 * The slots of all targets are dealt in the order of the operators' list, one to each instance in
 * turn, so that all instances come to the same division without a message.
 */
internal fun LongCallQuota.Shared.quotaAt(service: Service, index: Int): Int {
    val before = service.targets.take(index).sumOf { it.longCallSlots }
    val slots = before until before + service.targets[index].longCallSlots
    return slots.count { it % count == position }
}
