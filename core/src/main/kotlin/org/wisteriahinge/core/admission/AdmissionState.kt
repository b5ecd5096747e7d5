package org.wisteriahinge.core.admission

import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.wisteriahinge.core.call.Attempt
import org.wisteriahinge.core.model.AttemptId
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.ServiceId
import org.wisteriahinge.core.model.TargetId
import org.wisteriahinge.core.model.WorkClass

/** Weight of the newest observation in the moving average of the time at a target. */
private const val MEAN_TIME_SMOOTHING = 0.05

/** Mean time at a target that is assumed before the first answer. */
private val DEFAULT_SHORT_TIME: Duration = Duration.ofMillis(20)
private val DEFAULT_LONG_TIME: Duration = Duration.ofSeconds(1)

/** A permit to occupy a target of [service], held by an admitted call since [since]. */
public data class Permit(val service: ServiceId, val workClass: WorkClass, val since: Instant)

/** Admission of one work class of a service: [inUse] permits, queued calls and mean time. */
public data class ClassAdmission(
    val inUse: Int = 0,
    val queue: FairQueue = FairQueue(),
    val meanTime: Duration? = null
) {
    internal fun observed(time: Duration): ClassAdmission {
        val previous = (meanTime ?: time).toNanos()
        val next = previous + MEAN_TIME_SMOOTHING * (time.toNanos() - previous)
        return copy(meanTime = Duration.ofNanos(next.toLong()))
    }
}

/** Admission of one service. */
public data class ServiceAdmission(
    val limit: ConcurrencyLimit,
    val short: ClassAdmission = ClassAdmission(),
    val long: ClassAdmission = ClassAdmission()
) {
    public fun of(workClass: WorkClass): ClassAdmission = when (workClass) {
        WorkClass.Short -> short
        WorkClass.Long -> long
    }

    /** Mean time of a call of [workClass] at a target, or a default before the first answer. */
    public fun meanTime(workClass: WorkClass): Duration = of(workClass).meanTime
        ?: when (workClass) {
            WorkClass.Short -> DEFAULT_SHORT_TIME
            WorkClass.Long -> DEFAULT_LONG_TIME
        }

    internal fun with(workClass: WorkClass, changed: ClassAdmission): ServiceAdmission =
        when (workClass) {
            WorkClass.Short -> copy(short = changed)
            WorkClass.Long -> copy(long = changed)
        }

    internal val waiting: Int get() = short.queue.size + long.queue.size
}

/**
 * The calls that this instance has admitted or queued.
 *
 * @property permits the permits of admitted calls
 * @property queued the services with queued calls
 * @property longAttempts the targets of the attempts of long calls
 * @property longCalls all long calls, queued or running
 * @property longCallQuota this instance's part of the slots for long calls
 */
public data class AdmissionState(
    val settings: AdmissionSettings = AdmissionSettings(),
    val services: PersistentMap<ServiceId, ServiceAdmission> = persistentHashMapOf(),
    val permits: PersistentMap<CallId, Permit> = persistentHashMapOf(),
    val queued: PersistentSet<ServiceId> = persistentSetOf(),
    val longAttempts: PersistentMap<AttemptId, TargetId> = persistentHashMapOf(),
    val longCalls: PersistentSet<CallId> = persistentSetOf(),
    val longCallQuota: LongCallQuota = LongCallQuota.NoPeers
) {
    internal fun put(id: ServiceId, changed: ServiceAdmission): AdmissionState = copy(
        services = services.put(id, changed),
        queued = if (changed.waiting > 0) queued.add(id) else queued.remove(id)
    )

    internal fun update(
        id: ServiceId,
        workClass: WorkClass,
        change: (ClassAdmission) -> ClassAdmission
    ): AdmissionState {
        val service = services[id] ?: return this
        return put(id, service.with(workClass, change(service.of(workClass))))
    }

    /** Gives [permit] to [callId]. */
    internal fun acquire(callId: CallId, permit: Permit): AdmissionState =
        copy(permits = permits.put(callId, permit))
            .update(permit.service, permit.workClass) { it.copy(inUse = it.inUse + 1) }

    /** Takes the permit of [callId] back. */
    internal fun release(callId: CallId): AdmissionState {
        val permit = permits[callId] ?: return this
        return copy(permits = permits.remove(callId))
            .update(permit.service, permit.workClass) { it.copy(inUse = it.inUse - 1) }
    }

    /** Records the time until the answer of [callId] at [now], and takes its permit back. */
    internal fun answered(callId: CallId, now: Instant): AdmissionState {
        val permit = permits[callId] ?: return this
        return update(permit.service, permit.workClass) {
            it.observed(Duration.between(permit.since, now))
        }.release(callId)
    }

    internal fun adjustLimit(
        service: ServiceId,
        change: (ServiceAdmission) -> ConcurrencyLimit
    ): AdmissionState {
        val known = services[service] ?: return this
        return put(service, known.copy(limit = change(known)))
    }

    internal fun attemptStarted(attempt: Attempt, workClass: WorkClass): AdmissionState =
        when (workClass) {
            WorkClass.Short -> this
            WorkClass.Long -> copy(longAttempts = longAttempts.put(attempt.id, attempt.target.id))
        }

    internal fun attemptEnded(attempt: AttemptId): AdmissionState =
        if (attempt in longAttempts) copy(longAttempts = longAttempts.remove(attempt)) else this
}
