package org.wisteriahinge.core.admission

import java.time.Instant
import org.wisteriahinge.core.call.CallInProgress
import org.wisteriahinge.core.call.CallStage
import org.wisteriahinge.core.call.CallsDecision
import org.wisteriahinge.core.call.CallsState
import org.wisteriahinge.core.call.refuse
import org.wisteriahinge.core.call.resumeAfter
import org.wisteriahinge.core.model.LoadReport
import org.wisteriahinge.core.model.ServiceId
import org.wisteriahinge.core.model.WorkClass

/** Sends waiting calls on while there is room, short work first. */
internal fun CallsState.dispatchQueued(now: Instant): CallsDecision =
    admission.queued.fold(CallsDecision(this)) { decision, service ->
        decision
            .then { it.dispatch(service, WorkClass.Short, now) }
            .then { it.dispatch(service, WorkClass.Long, now) }
    }

private fun CallsState.dispatch(id: ServiceId, workClass: WorkClass, now: Instant): CallsDecision {
    val service = admission.services[id] ?: return CallsDecision(this)
    val next = service.of(workClass).queue.take() ?: return CallsDecision(this)
    val callId = next.waiting.callId
    val call = calls[callId]
    val dequeued =
        copy(admission = admission.update(id, workClass) { it.copy(queue = next.queue) })
    return when {
        call == null -> dequeued.dispatch(id, workClass, now)
        // Half the mean time is the least that makes an answer in time likely.
        now + service.meanTime(workClass).dividedBy(2) > next.waiting.deadline ->
            dequeued.refuse(callId, overloadedRefusal, now).then { it.dispatch(id, workClass, now) }
        !hasCapacity(call, now) -> CallsDecision(this)
        else -> dequeued.resumeAfter(CallStage.Admission, callId, now)
            .then { it.dispatch(id, workClass, now) }
    }
}

/** Refuses waiting calls whose deadline passed while no place became free. */
internal fun CallsState.refuseExpired(now: Instant): CallsDecision = admission.queued
    .mapNotNull { admission.services[it] }
    .flatMap { it.short.queue.expired(now) + it.long.queue.expired(now) }
    .fold(CallsDecision(this)) { decision, waiting ->
        decision.then { it.refuse(waiting.callId, overloadedRefusal, now) }
    }

/** A target answered a call of short work with [load], which moves the limit of its service. */
internal fun CallsState.observeLoad(call: CallInProgress, load: LoadReport?): CallsState =
    when (call.matched.operation.workClass) {
        WorkClass.Long -> this
        WorkClass.Short -> copy(
            admission = admission.adjustLimit(call.matched.service.id) {
                it.limit.observe(load, it.short.inUse)
            }
        )
    }

/** A target shed a call, so the limit of its service is too high. */
internal fun CallsState.observeShed(call: CallInProgress): CallsState =
    copy(admission = admission.adjustLimit(call.matched.service.id) { it.limit.shed() })

/**
 * The answer to [call] began. Short work gives its place back now, so that a slow caller that
 * reads its answer holds nothing that other calls need; long work occupies its target until it
 * ends.
 */
internal fun CallsState.releaseOnAnswer(call: CallInProgress, now: Instant): CallsState =
    when (call.matched.operation.workClass) {
        WorkClass.Long -> this
        WorkClass.Short -> copy(admission = admission.answered(call.request.callId, now))
    }
