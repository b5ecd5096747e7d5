package org.wisteriahinge.core.quarantine

import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.core.model.TargetId

/**
 * Settings of the quarantine of requests that crash backend servers.
 *
 * @property evidence what shows that a server crashed
 * @property maxCrashes the number of crashes, over all instances, that quarantines a request
 * @property exclusivePeriod how long only the instance that reports a suspect may run it; covers a
 *   retry and the propagation of the report. Zero lets suspects run anywhere at any time
 * @property suspicionPeriod how long a request stays suspected after a crash
 * @property quarantine how long a request stays quarantined
 * @property maxSuspects the maximum number of suspects, which bounds memory
 * @property maxReportsPerSecond bounds the messages when many connections break at once
 * @property maxNoticesPerHeartbeat the maximum number of notices that a heartbeat carries
 */
public data class QuarantineSettings(
    val evidence: CrashEvidence = CrashEvidence.BrokenConnection,
    val maxCrashes: Int = 3,
    val exclusivePeriod: Duration = Duration.ofSeconds(2),
    val suspicionPeriod: Duration = Duration.ofMinutes(1),
    val quarantine: Duration = Duration.ofMinutes(10),
    val maxSuspects: Int = 2_048,
    val maxReportsPerSecond: Int = 20,
    val maxNoticesPerHeartbeat: Int = 8
)

/**
 * A request that was in progress at a backend server when the connection broke.
 *
 * [peerCrashes] holds the crashes that each other instance counted itself. Until [peerRunUntil], a
 * peer may be running the request. The suspect expires at [until]; until then the request is
 * refused if it is [quarantined].
 */
public data class Suspect(
    val ownCrashes: Int,
    val peerCrashes: PersistentMap<InstanceId, Int>,
    val peerRunUntil: Instant,
    val until: Instant,
    val quarantined: Boolean
) {
    /** Crashes counted here and reported by other instances. */
    public val crashes: Int get() = ownCrashes + peerCrashes.values.sum()
}

/** Number of reports sent to peers in the rate-limiting window that began at [since]. */
public data class ReportWindow(val since: Instant = Instant.EPOCH, val reports: Int = 0)

/**
 * The requests that are suspected or quarantined at this instance.
 *
 * [unverified] holds the requests whose connections broke, by the server that is being checked, and
 * [answered] the content of requests that were answered.
 */
public data class QuarantineState(
    val settings: QuarantineSettings = QuarantineSettings(),
    val suspects: PersistentMap<SuspectKey, Suspect> = persistentHashMapOf(),
    val unverified: PersistentMap<TargetId, ServerCheck> = persistentHashMapOf(),
    val answered: AnsweredContent = AnsweredContent(),
    val reportWindow: ReportWindow = ReportWindow(),
    val lastSummaryAt: Instant = Instant.EPOCH,
    val summaryCount: Int = 0
) {
    /** When the next check of a server is due again; null if none is. */
    public val nextCheckAt: Instant? get() = unverified.values.mapNotNull { it.nextAt }.minOrNull()

    /** The suspect [key]; null if there is none or it has expired. */
    public fun suspect(key: SuspectKey, now: Instant): Suspect? =
        if (suspects.isEmpty()) null else suspects[key]?.takeIf { it.until > now }

    /** The suspect [key], or a new one with no crashes. */
    internal fun suspectOrNew(key: SuspectKey, now: Instant): Suspect =
        suspect(key, now) ?: Suspect(
            ownCrashes = 0,
            peerCrashes = persistentHashMapOf(),
            peerRunUntil = Instant.EPOCH,
            until = now + settings.suspicionPeriod,
            quarantined = false
        )

    /** Stores [suspect] and quarantines it if it has reached the maximum number of crashes. */
    internal fun put(key: SuspectKey, suspect: Suspect, now: Instant): QuarantineState {
        val reached = suspect.crashes >= settings.maxCrashes
        val stored = if (reached && !suspect.quarantined) {
            suspect.copy(quarantined = true, until = now + settings.quarantine)
        } else {
            suspect
        }
        return copy(suspects = suspects.put(key, stored)).withinBounds()
    }

    internal fun remove(key: SuspectKey): QuarantineState = copy(suspects = suspects.remove(key))

    internal fun withoutExpired(now: Instant): QuarantineState = copy(
        suspects = suspects.entries.filter { it.value.until <= now }
            .fold(suspects) { kept, expired -> kept.remove(expired.key) }
    )

    /** Drops the suspect that is nearest to its end, quarantined ones last. */
    private fun withinBounds(): QuarantineState {
        if (suspects.size <= settings.maxSuspects) return this
        val dropped = suspects.entries.minWith(
            compareBy({ it.value.quarantined }, { it.value.until })
        )
        return remove(dropped.key)
    }
}
