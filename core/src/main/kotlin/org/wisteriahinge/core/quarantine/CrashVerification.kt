package org.wisteriahinge.core.quarantine

import java.time.Instant
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.wisteriahinge.core.call.CallEffect
import org.wisteriahinge.core.call.CallEvent
import org.wisteriahinge.core.call.CallInProgress
import org.wisteriahinge.core.call.CallsDecision
import org.wisteriahinge.core.call.CallsState
import org.wisteriahinge.core.model.ServiceId
import org.wisteriahinge.core.model.Target

/** Most requests that wait for the check of one server; it has fewer connections from here. */
private const val MAX_UNVERIFIED_PER_TARGET = 64

/** A request whose connection broke, and whose server is being checked; [keys] are its own. */
public data class UnverifiedCrash(val keys: PersistentList<SuspectKey>, val service: ServiceId)

/** Most other servers that are asked whether the network works. */
private const val MAX_WITNESSES = 3

/** Records that the connection of [call] to [target] broke while the request may have run there. */
internal fun CallsState.connectionBroke(
    call: CallInProgress,
    target: Target,
    now: Instant
): CallsDecision {
    val crash = UnverifiedCrash(blamedKeys(call, now), call.matched.service.id)
    return when (quarantine.settings.evidence) {
        CrashEvidence.BrokenConnection -> recordCrashes(listOf(crash), now)
        CrashEvidence.EndedServer -> checkServer(crash, target, now)
    }
}

/**
 * The keys of [call] that may be to blame. Content that was answered a short time ago does not end
 * servers by itself; a popular request may run at several servers that end for other reasons.
 */
private fun CallsState.blamedKeys(call: CallInProgress, now: Instant): PersistentList<SuspectKey> {
    val fingerprint = call.request.content?.fingerprint()
    val isHarmless = fingerprint != null && quarantine.answered.contains(fingerprint, now)
    val keys = if (isHarmless) listOf(call.suspectKey) else call.suspectKeys
    return keys.toPersistentList()
}

/** Checks [target] unless a check is under way, whose outcome then counts for [crash] too. */
private fun CallsState.checkServer(
    crash: UnverifiedCrash,
    target: Target,
    now: Instant
): CallsDecision {
    val path = configuration.entitlements.services[crash.service]?.probePath
        ?: return recordCrashes(listOf(crash), now)
    val waiting = quarantine.unverified[target.id].orEmpty()
    if (waiting.size >= MAX_UNVERIFIED_PER_TARGET) return CallsDecision(this)
    val all = persistentListOf<UnverifiedCrash>().addAll(waiting).add(crash)
    val next = CallsDecision(
        copy(quarantine = quarantine.copy(unverified = quarantine.unverified.put(target.id, all)))
    )
    return if (waiting.isEmpty()) {
        next.emit(CallEffect.CheckServer(target, path, witnesses(crash.service, target, now)))
    } else {
        next
    }
}

/** Other targets, of [service] if it has any, whose answers show that the network works. */
private fun CallsState.witnesses(
    service: ServiceId,
    target: Target,
    now: Instant
): PersistentList<Witness> = routing.targets.values
    .filter { it.target.id != target.id && !routing.rateLimits.isPaused(it.target.id, now) }
    .sortedWith(compareBy({ it.service != service }, { it.health.failures }))
    .take(MAX_WITNESSES)
    .mapNotNull { view ->
        val path = configuration.entitlements.services[view.service]?.probePath
        path?.let { Witness(view.target, it) }
    }
    .toPersistentList()

/** Without what waits for a check on account of [call], which was answered meanwhile. */
internal fun QuarantineState.withoutUnverified(call: CallInProgress): QuarantineState {
    if (unverified.isEmpty()) return this
    val answered = call.suspectKeys
    return copy(
        unverified = unverified.entries.fold(unverified) { all, (target, crashes) ->
            all.put(target, crashes.without(answered))
        }
    )
}

private fun PersistentList<UnverifiedCrash>.without(answered: List<SuspectKey>) =
    map { it.copy(keys = it.keys.removeAll(answered)) }
        .filter { it.keys.isNotEmpty() }
        .toPersistentList()

/** Counts or drops the crashes that waited for the check of a server. */
internal fun CallsState.serverChecked(event: CallEvent.ServerChecked, now: Instant): CallsDecision {
    val waiting: PersistentList<UnverifiedCrash> =
        quarantine.unverified[event.target] ?: return CallsDecision(this)
    val checked = copy(
        quarantine = quarantine.copy(unverified = quarantine.unverified.remove(event.target))
    )
    return when (event.outcome) {
        ServerCheckOutcome.Running, ServerCheckOutcome.Unknown -> CallsDecision(checked)
        ServerCheckOutcome.Ended -> checked.recordCrashes(waiting, now)
    }
}
