package org.wisteriahinge.core.admission

import java.time.Duration
import java.time.Instant
import org.wisteriahinge.core.call.CallEnd
import org.wisteriahinge.core.call.CallInProgress
import org.wisteriahinge.core.call.CallsDecision
import org.wisteriahinge.core.call.CallsState
import org.wisteriahinge.core.call.StageOutcome
import org.wisteriahinge.core.call.refuse
import org.wisteriahinge.core.model.Execution
import org.wisteriahinge.core.model.Refusal
import org.wisteriahinge.core.model.RefusalReason
import org.wisteriahinge.core.model.Service
import org.wisteriahinge.core.model.WorkClass
import org.wisteriahinge.core.survey.SurveyPolicy

/** Retry delay of refused calls: the maximum wait in a queue. */
private val RETRY_AFTER_OVERLOAD: Duration = Duration.ofMillis(250)

internal val overloadedRefusal: Refusal =
    Refusal(RefusalReason.Overloaded, Execution.NotRun, RETRY_AFTER_OVERLOAD)

/** Refuses a call that cannot be served in time, before its idempotency key is claimed. */
internal fun CallsState.enterHeadroom(call: CallInProgress, now: Instant): StageOutcome {
    if (isAdmittedBySurvey(call)) return StageOutcome.Passed(CallsDecision(this))
    val known = copy(admission = admission.withService(call.matched.service).addLongCall(call))
    val decision = CallsDecision(known)
    val free = known.hasCapacity(call, now)
    return when {
        known.exceedsLongCallLimit(call) -> StageOutcome.Refused(decision, overloadedRefusal)
        free || known.canQueue(call, now) -> StageOutcome.Passed(decision)
        else -> StageOutcome.Refused(decision, overloadedRefusal)
    }
}

/** Admits, queues or refuses [call]. */
internal fun CallsState.enterAdmission(call: CallInProgress, now: Instant): StageOutcome {
    if (isAdmittedBySurvey(call)) return StageOutcome.Passed(CallsDecision(this))
    val service = call.matched.service.id
    val workClass = call.matched.operation.workClass
    val known = copy(admission = admission.withService(call.matched.service))
    val queue = known.admission.services.getValue(service).of(workClass).queue
    if (queue.size == 0 && known.hasCapacity(call, now)) {
        return StageOutcome.Passed(CallsDecision(known))
    }
    if (!known.canQueue(call, now)) {
        return StageOutcome.Refused(CallsDecision(known), overloadedRefusal)
    }
    val displaced = if (known.queueIsFull(call)) known.displaced(call) else null
    val freed = displaced?.let { known.refuse(it.callId, overloadedRefusal, now) }
        ?: CallsDecision(known)
    return StageOutcome.Suspended(freed.update { it.enqueue(call) })
}

/** A survey knows the queues at the targets, which the concurrency limit can only estimate. */
private fun CallsState.isAdmittedBySurvey(call: CallInProgress): Boolean = when (surveys.policy) {
    SurveyPolicy.Off -> false
    is SurveyPolicy.BeforeEach -> call.caller.isOpen
}

/** Releases the permit of a call that ended, or removes the call from its queue. */
internal fun CallsState.leaveAdmission(
    call: CallInProgress,
    end: CallEnd,
    now: Instant
): CallsDecision {
    val released = when (end) {
        CallEnd.Answered -> admission.answered(call.request.callId, now)
        is CallEnd.Refused, is CallEnd.CallerGone -> admission.release(call.request.callId)
    }
    return CallsDecision(copy(admission = released.dequeue(call).removeLongCall(call)))
}

/** Acquires the permit of [call], which is held until the call is answered or ends. */
internal fun CallsState.acquirePermit(call: CallInProgress, now: Instant): CallsState {
    val permit = Permit(call.matched.service.id, call.matched.operation.workClass, now)
    val known = admission.withService(call.matched.service)
    return copy(admission = known.acquire(call.request.callId, permit))
}

private fun AdmissionState.withService(service: Service): AdmissionState {
    if (service.id in services) return this
    val slots = service.targets.sumOf { it.slots }
    return put(service.id, ServiceAdmission(ConcurrencyLimit.initial(slots)))
}

/** Whether the limits of the service allow to send [call] to a target now. */
internal fun CallsState.hasCapacity(call: CallInProgress, now: Instant): Boolean {
    val service = admission.services.getValue(call.matched.service.id)
    return when (call.matched.operation.workClass) {
        WorkClass.Short -> service.short.inUse < service.limit.value
        WorkClass.Long -> excludedTargets(call, now).size < call.matched.service.targets.size
    }
}

private fun CallsState.canQueue(call: CallInProgress, now: Instant): Boolean =
    isServedInTime(call, now) && (!queueIsFull(call) || displaced(call) != null)

private fun CallsState.serviceOf(call: CallInProgress): ServiceAdmission =
    admission.services.getValue(call.matched.service.id)

private fun ServiceAdmission.concurrency(workClass: WorkClass): Double = when (workClass) {
    WorkClass.Short -> limit.value
    WorkClass.Long -> maxOf(1, long.inUse).toDouble()
}

/** Whether [call] is expected to be answered before its deadline if it is queued now. */
private fun CallsState.isServedInTime(call: CallInProgress, now: Instant): Boolean {
    val service = serviceOf(call)
    val workClass = call.matched.operation.workClass
    val queue = service.of(workClass).queue
    val callsAhead = queue.callsAhead(call.caller.customer.id, call.caller.plan.weight)
    val meanTime = service.meanTime(workClass)
    val wait = estimatedWait(
        meanTime,
        minOf(callsAhead, queue.size.toDouble()) + 1,
        service.concurrency(workClass)
    )
    return now + wait + meanTime <= call.request.deadline
}

private fun CallsState.queueIsFull(call: CallInProgress): Boolean {
    val service = serviceOf(call)
    val size = service.of(call.matched.operation.workClass).queue.size
    return when (call.matched.operation.workClass) {
        WorkClass.Long -> size >= admission.settings.maxLongQueued
        WorkClass.Short -> {
            val meanTime = service.meanTime(WorkClass.Short)
            val wait = estimatedWait(meanTime, size + 1.0, service.limit.value)
            wait > admission.settings.maxWait || size >= admission.settings.maxQueued
        }
    }
}

private fun estimatedWait(meanTime: Duration, calls: Double, concurrency: Double): Duration =
    Duration.ofNanos((meanTime.toNanos() * calls / concurrency).toLong())

private fun CallsState.exceedsLongCallLimit(call: CallInProgress): Boolean =
    when (call.matched.operation.workClass) {
        WorkClass.Short -> false
        WorkClass.Long -> admission.longCalls.size > admission.settings.maxLongCalls
    }

private fun AdmissionState.addLongCall(call: CallInProgress): AdmissionState =
    when (call.matched.operation.workClass) {
        WorkClass.Short -> this
        WorkClass.Long -> copy(longCalls = longCalls.add(call.request.callId))
    }

private fun AdmissionState.removeLongCall(call: CallInProgress): AdmissionState =
    when (call.matched.operation.workClass) {
        WorkClass.Short -> this
        WorkClass.Long -> copy(longCalls = longCalls.remove(call.request.callId))
    }

private fun CallsState.displaced(call: CallInProgress): QueuedCall? = admission.services
    .getValue(call.matched.service.id)
    .of(call.matched.operation.workClass).queue
    .displacedBy(call.caller.customer.id, call.caller.plan.weight)

private fun CallsState.enqueue(call: CallInProgress): CallsState {
    val waiting = QueuedCall(
        call.request.callId,
        call.caller.customer.id,
        call.caller.plan.weight,
        call.request.deadline
    )
    val next = admission.update(call.matched.service.id, call.matched.operation.workClass) {
        it.copy(queue = it.queue.add(waiting))
    }
    return copy(admission = next)
}

private fun AdmissionState.dequeue(call: CallInProgress): AdmissionState {
    if (call.matched.service.id !in queued) return this
    return update(call.matched.service.id, call.matched.operation.workClass) {
        it.copy(queue = it.queue.remove(call.request.callId, call.caller.customer.id))
    }
}
