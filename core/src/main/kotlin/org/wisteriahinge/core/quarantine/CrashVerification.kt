package org.wisteriahinge.core.quarantine

import java.time.Duration
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

/** Of these, the most of other services than that of the server in question. */
private const val MAX_FOREIGN_WITNESSES = 2

/** Time between checks of a server while no other server answers. */
private val RECHECK_PERIOD: Duration = Duration.ofMillis(250)

/** Time after which such a server is not checked any more; one that ended is back before. */
private val MAX_CHECK_TIME: Duration = Duration.ofSeconds(8)

/**
 * The check of a server and the requests that ran there. It is under way since [startedAt], and is
 * repeated at [nextAt]; null while the server is being asked.
 */
public data class ServerCheck(
    val target: Target,
    val crashes: PersistentList<UnverifiedCrash>,
    val startedAt: Instant,
    val nextAt: Instant? = null
) {
    internal val service: ServiceId get() = crashes.first().service
}

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
    val known = quarantine.unverified[target.id]
        ?: return withCheck(ServerCheck(target, persistentListOf(crash), now)).emit(
            CallEffect.CheckServer(target, path, witnesses(crash.service, target, now))
        )
    if (known.crashes.size >= MAX_UNVERIFIED_PER_TARGET) return CallsDecision(this)
    return withCheck(known.copy(crashes = known.crashes.add(crash)))
}

private fun CallsState.withCheck(check: ServerCheck): CallsDecision {
    val unverified = quarantine.unverified.put(check.target.id, check)
    return CallsDecision(copy(quarantine = quarantine.copy(unverified = unverified)))
}

/**
 * Other targets whose answers show that the network works.
 *
 * Most are of other services than [service], if there are any: a request that ended [target] may
 * have ended the other targets of [service] as well.
 */
private fun CallsState.witnesses(
    service: ServiceId,
    target: Target,
    now: Instant
): PersistentList<Witness> {
    val (own, foreign) = routing.targets.values
        .filter { it.target.id != target.id && !routing.rateLimits.isPaused(it.target.id, now) }
        .sortedBy { it.health.failures }
        .partition { it.service == service }
    val ordered =
        foreign.take(MAX_FOREIGN_WITNESSES) + own + foreign.drop(MAX_FOREIGN_WITNESSES)
    return ordered.take(MAX_WITNESSES)
        .mapNotNull { view ->
            val path = configuration.entitlements.services[view.service]?.probePath
            path?.let { Witness(view.target, it) }
        }
        .toPersistentList()
}

/** Without what waits for a check on account of [call], which was answered meanwhile. */
internal fun QuarantineState.withoutUnverified(call: CallInProgress): QuarantineState {
    if (unverified.isEmpty()) return this
    val answered = call.suspectKeys
    return copy(
        unverified = unverified.entries.fold(unverified) { all, (target, check) ->
            val crashes = check.crashes.without(answered)
            if (crashes.isEmpty()) {
                all.remove(target)
            } else {
                all.put(target, check.copy(crashes = crashes))
            }
        }
    )
}

private fun PersistentList<UnverifiedCrash>.without(answered: List<SuspectKey>) =
    map { it.copy(keys = it.keys.removeAll(answered)) }
        .filter { it.keys.isNotEmpty() }
        .toPersistentList()

/** Counts or drops the crashes that waited for the check of a server, or repeats the check. */
internal fun CallsState.serverChecked(event: CallEvent.ServerChecked, now: Instant): CallsDecision {
    val check = quarantine.unverified[event.target] ?: return CallsDecision(this)
    val checked = copy(
        quarantine = quarantine.copy(unverified = quarantine.unverified.remove(event.target))
    )
    return when (event.outcome) {
        ServerCheckOutcome.Running, ServerCheckOutcome.Unknown -> CallsDecision(checked)
        ServerCheckOutcome.Unconfirmed ->
            if (now < check.startedAt + MAX_CHECK_TIME) {
                checked.withCheck(check.copy(nextAt = now + RECHECK_PERIOD))
            } else {
                CallsDecision(checked)
            }
        ServerCheckOutcome.Ended -> checked.recordCrashes(check.crashes, now)
    }
}

/** Checks servers again that refused connections while no other server answered. */
internal fun CallsState.repeatServerChecks(now: Instant): CallsDecision =
    quarantine.unverified.values
        .filter { check -> check.nextAt?.let { it <= now } == true }
        .sortedBy { it.target.id.value }
        .fold(CallsDecision(this)) { decision, check ->
            decision.then { it.repeatServerCheck(check, now) }
        }

private fun CallsState.repeatServerCheck(check: ServerCheck, now: Instant): CallsDecision {
    val path = configuration.entitlements.services[check.service]?.probePath
    if (path == null) {
        val unverified = quarantine.unverified.remove(check.target.id)
        return CallsDecision(copy(quarantine = quarantine.copy(unverified = unverified)))
    }
    return withCheck(check.copy(nextAt = null)).emit(
        CallEffect.CheckServer(check.target, path, witnesses(check.service, check.target, now))
    )
}
