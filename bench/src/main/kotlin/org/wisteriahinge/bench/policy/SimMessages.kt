package org.wisteriahinge.bench.policy

import java.time.Instant
import kotlinx.collections.immutable.PersistentList
import org.wisteriahinge.core.call.AttemptFailure
import org.wisteriahinge.core.call.CallEffect
import org.wisteriahinge.core.call.CallEvent
import org.wisteriahinge.core.membership.QuarantineNotice
import org.wisteriahinge.core.membership.TargetLoad
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.quarantine.ServerCheckOutcome

/** What all other instances hear of the suspected requests that [instance] reports now. */
internal fun Scenario.quarantineMessages(
    instance: Int,
    notices: PersistentList<QuarantineNotice>,
    nowMicros: Long
): List<TimedEvent> {
    val report = CallEvent.QuarantineReported(instanceId(instance), notices)
    return (0 until instances).filter { it != instance }.map {
        TimedEvent(nowMicros + delay(instance, it), SimEvent.ToInstance(it, report))
    }
}

/** What all other instances learn through the store of the crashes that [instance] counted. */
internal fun Scenario.crashMessages(
    instance: Int,
    effect: CallEffect.ShareCrashes,
    nowMicros: Long
): List<TimedEvent> {
    val delayMillis = sharingDelayMillis() ?: return emptyList()
    val event = CallEvent.CrashesShared(effect.digest, instanceId(instance), effect.crashes)
    val at = nowMicros + delayMillis * MICROS_PER_MILLI
    return (0 until instances).filter { it != instance }
        .map { TimedEvent(at, SimEvent.ToInstance(it, event)) }
}

/** The heartbeat of [instance] with [loads], at the peers whose turn it is. */
internal fun Scenario.heartbeatMessages(
    instance: Int,
    loads: PersistentList<TargetLoad>,
    nowMicros: Long
): List<TimedEvent> {
    if (loads.isEmpty()) return emptyList()
    val message = CallEvent.PeerLoads(instanceId(instance), loads)
    return heartbeatPeers(instance, nowMicros).map {
        TimedEvent(nowMicros + delay(instance, it), SimEvent.ToInstance(it, message))
    }
}

/** The outcome of the check of [target], if checks have any in this scenario. */
internal fun Scenario.serverCheckMessages(
    instance: Int,
    target: SimTarget,
    nowMicros: Long
): List<TimedEvent> {
    if (!checksServers()) return emptyList()
    val outcome = if (target.crashed) ServerCheckOutcome.Ended else ServerCheckOutcome.Running
    val event = CallEvent.ServerChecked(targetId(target.index), outcome)
    val at = nowMicros + 2 * delay(instance, target.index)
    return listOf(TimedEvent(at, SimEvent.ToInstance(instance, event)))
}

/** A connection attempt to a target that is silent is given up after this time. */
private const val CONNECT_TIMEOUT_MICROS = 400_000L
private const val PROBE_TIMEOUT_MICROS = 250_000L
private const val REFUSAL_MICROS = 2_000L

/** What the sender of attempt [key] learns while its links are cut off in this way. */
internal fun CutLink.connectFailure(
    request: SimRequest,
    key: AttemptKey,
    nowMicros: Long
): List<TimedEvent> {
    val event = failure(CallId(request.id), key, AttemptFailure.ConnectFailed)
    val after = when (this) {
        CutLink.Silent -> CONNECT_TIMEOUT_MICROS
        CutLink.Refusing -> REFUSAL_MICROS
    }
    return listOf(TimedEvent(nowMicros + after, SimEvent.ToInstance(key.instance, event)))
}

/** A probe of [target], or its failure if the links of [instance] are cut off. */
internal fun Scenario.probeMessages(instance: Int, target: Int, nowMicros: Long): List<TimedEvent> {
    val failed = SimEvent.ToInstance(instance, CallEvent.ProbeFailed(targetId(target)))
    return when (cutLink(instance, nowMicros)) {
        null -> {
            val at = nowMicros + delay(instance, target)
            listOf(TimedEvent(at, SimEvent.ReachProbe(target, instance)))
        }
        CutLink.Silent -> listOf(TimedEvent(nowMicros + PROBE_TIMEOUT_MICROS, failed))
        CutLink.Refusing -> listOf(TimedEvent(nowMicros + REFUSAL_MICROS, failed))
    }
}

/** The answer of [target] to a probe of [instance] that reached it at [now]. */
internal fun Scenario.probeAnswer(
    instance: Int,
    target: SimTarget,
    now: Instant,
    nowMicros: Long
): List<TimedEvent> {
    val id = targetId(target.index)
    val event = if (target.crashed) {
        CallEvent.ProbeFailed(id)
    } else {
        val report = target.reportAt(now).copy(draining = target.saysDraining())
        CallEvent.LoadReported(id, report, limitReport(target))
    }
    val at = nowMicros + delay(instance, target.index)
    return listOf(TimedEvent(at, SimEvent.ToInstance(instance, event)))
}
