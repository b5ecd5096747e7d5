package org.wisteriahinge.core.admission

import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentSet
import org.wisteriahinge.core.call.CallInProgress
import org.wisteriahinge.core.call.CallsState
import org.wisteriahinge.core.model.Service
import org.wisteriahinge.core.model.TargetId
import org.wisteriahinge.core.model.WorkClass
import org.wisteriahinge.core.routing.TargetView

/** Slots of a target that long work leaves to short work. */
private const val SLOTS_LEFT_TO_SHORT = 1

/** A report older than this says nothing about the slots that are free now. */
private val REPORT_MAX_AGE: Duration = Duration.ofSeconds(1)

/**
 * Targets where [call] may not start because long work would take the last slot.
 *
 * A target that serves only long work keeps no slot back.
 */
internal fun CallsState.closedTargets(call: CallInProgress, now: Instant): PersistentSet<TargetId> =
    when (call.matched.operation.workClass) {
        WorkClass.Short -> persistentSetOf()
        WorkClass.Long -> {
            val service = call.matched.service
            if (service.servesShort()) targetsClosedToLong(service, now) else persistentSetOf()
        }
    }

private fun Service.servesShort(): Boolean = operations.any {
    when (it.workClass) {
        WorkClass.Short -> true
        WorkClass.Long -> false
    }
}

private fun CallsState.targetsClosedToLong(
    service: Service,
    now: Instant
): PersistentSet<TargetId> = routing.byService[service.id].orEmpty()
    .filter { id -> routing.targets[id]?.let { !hasRoomForLong(it, now) } ?: true }
    .toPersistentSet()

private fun CallsState.hasRoomForLong(view: TargetView, now: Instant): Boolean {
    val id = view.target.id
    val own = admission.longAttempts.values.count { it == id }
    val report = view.load?.takeIf { it.observedAt + REPORT_MAX_AGE > now }
    val busy = maxOf(view.inFlight, report?.inFlight ?: 0)
    val slots = view.target.slots
    // A target with a single slot must serve both kinds with it.
    val most = maxOf(1, slots - SLOTS_LEFT_TO_SHORT)
    return own < most && busy + 1 <= most
}
