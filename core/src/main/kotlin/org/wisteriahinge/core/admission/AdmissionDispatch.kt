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

/** Resumes queued calls while there is capacity, short calls first. */
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
        // With less than half the mean time left, an answer before the deadline is unlikely.
        now + service.meanTime(workClass).dividedBy(2) > next.waiting.deadline ->
            dequeued.refuse(callId, overloadedRefusal, now).then { it.dispatch(id, workClass, now) }
        !hasCapacity(call, now) -> CallsDecision(this)
        else -> dequeued.resumeAfter(CallStage.Admission, callId, now)
            .then { it.dispatch(id, workClass, now) }
    }
}

/** Refuses queued calls whose deadline has passed. */
internal fun CallsState.refuseExpired(now: Instant): CallsDecision = admission.queued
    .mapNotNull { admission.services[it] }
    .flatMap { it.short.queue.expired(now) + it.long.queue.expired(now) }
    .fold(CallsDecision(this)) { decision, waiting ->
        decision.then { it.refuse(waiting.callId, overloadedRefusal, now) }
    }

/** Adjusts the concurrency limit of the service of a short call that was answered with [load]. */
internal fun CallsState.observeLoad(call: CallInProgress, load: LoadReport?): CallsState =
    when (call.matched.operation.workClass) {
        WorkClass.Long -> this
        WorkClass.Short -> copy(
            admission = admission.adjustLimit(call.matched.service.id) {
                it.limit.observe(load, it.short.inUse)
            }
        )
    }

/** Lowers the concurrency limit of the service of [call], because a target shed it. */
internal fun CallsState.observeShed(call: CallInProgress): CallsState =
    copy(admission = admission.adjustLimit(call.matched.service.id) { it.limit.shed() })

/**
 * Releases the permit of a short call when its answer begins, so that a caller that reads its
 * answer slowly does not block other calls. A long call keeps its permit until it ends.
 */
internal fun CallsState.releaseOnAnswer(call: CallInProgress, now: Instant): CallsState =
    when (call.matched.operation.workClass) {
        WorkClass.Long -> this
        WorkClass.Short -> copy(admission = admission.answered(call.request.callId, now))
    }
