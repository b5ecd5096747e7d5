package org.wisteriahinge.core.admission

import kotlinx.collections.immutable.PersistentSet
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.core.model.Service
import org.wisteriahinge.core.model.Target

/** Slots of a target that long work leaves to short work. */
private const val SLOTS_LEFT_TO_SHORT = 1

/**
 * How the slots that long work may take are divided among the instances.
 *
 * Load reports are too old to divide them: an instance hears from a target a few times a second,
 * and two instances that both see a free slot would fill it and the slot kept for short work.
 */
public sealed interface LongPermits {
    /** No peer is known; this instance goes by the load of the targets. */
    public data object Alone : LongPermits

    /** This instance is at [position], from 0, in the sorted list of [count] live instances. */
    public data class Shared(val position: Int, val count: Int) : LongPermits

    public companion object {
        /** The part of [self] among the [live] instances. */
        public fun among(live: PersistentSet<InstanceId>, self: InstanceId): LongPermits {
            val position = live.map { it.value }.sorted().indexOf(self.value)
            return if (position < 0 || live.size < 2) Alone else Shared(position, live.size)
        }
    }
}

/** Slots of this target that long work may take over all instances; one where it has only one. */
internal val Target.longSlots: Int get() = maxOf(1, slots - SLOTS_LEFT_TO_SHORT)

/** Whether each instance gets at least one slot of [service] for long work. */
internal fun LongPermits.Shared.suffices(service: Service): Boolean =
    service.targets.sumOf { it.longSlots } >= count

/**
 * Long calls that this instance may have at the target with the index [index] of [service].
 *
 * The slots of all targets are dealt in the order of the operators' list, one to each instance in
 * turn, so that all instances come to the same division without a message.
 */
internal fun LongPermits.Shared.permitsAt(service: Service, index: Int): Int {
    val before = service.targets.take(index).sumOf { it.longSlots }
    val slots = before until before + service.targets[index].longSlots
    return slots.count { it % count == position }
}
