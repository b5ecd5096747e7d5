package org.wisteriahinge.core.admission

import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentSet
import org.wisteriahinge.core.call.CallInProgress
import org.wisteriahinge.core.call.CallsState
import org.wisteriahinge.core.model.Service
import org.wisteriahinge.core.model.Target
import org.wisteriahinge.core.model.TargetId
import org.wisteriahinge.core.model.WorkClass

/** An older report does not show which slots are free now. */
private val REPORT_MAX_AGE: Duration = Duration.ofSeconds(1)

/**
 * Targets at which [call] may not start, because a long call may not use their last free slot.
 *
 * Targets of a service that has only long operations reserve no slot.
 */
internal fun CallsState.excludedTargets(
    call: CallInProgress,
    now: Instant
): PersistentSet<TargetId> = when (call.matched.operation.workClass) {
    WorkClass.Short -> persistentSetOf()
    WorkClass.Long -> {
        val service = call.matched.service
        if (service.servesShort()) targetsWithoutLongSlot(service, now) else persistentSetOf()
    }
}

private fun Service.servesShort(): Boolean = operations.any {
    when (it.workClass) {
        WorkClass.Short -> true
        WorkClass.Long -> false
    }
}

private fun CallsState.targetsWithoutLongSlot(
    service: Service,
    now: Instant
): PersistentSet<TargetId> = service.targets.withIndex()
    .filterNot { (index, target) -> acceptsLongCall(service, index, target, now) }
    .map { it.value.id }
    .toPersistentSet()

private fun CallsState.acceptsLongCall(
    service: Service,
    index: Int,
    target: Target,
    now: Instant
): Boolean {
    val own = admission.longAttempts.values.count { it == target.id }
    return when (val quota = admission.longCallQuota) {
        LongCallQuota.NoPeers -> own < target.longCallSlots && reportsFreeLongSlot(target, now)
        is LongCallQuota.Shared -> if (quota.coversAllInstances(service)) {
            own < quota.quotaAt(service, index)
        } else {
            own < target.longCallSlots && reportsFreeLongSlot(target, now)
        }
    }
}

private fun CallsState.reportsFreeLongSlot(target: Target, now: Instant): Boolean {
    val view = routing.targets[target.id] ?: return false
    val report = view.load?.takeIf { it.observedAt + REPORT_MAX_AGE > now }
    val busy = maxOf(view.inFlight, report?.inFlight ?: 0)
    return busy + 1 <= target.longCallSlots
}
