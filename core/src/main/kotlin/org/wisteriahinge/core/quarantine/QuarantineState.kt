package org.wisteriahinge.core.quarantine

import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.wisteriahinge.core.model.InstanceId

/**
 * Bounds of the quarantine.
 *
 * [maxCrashes] counts over all instances. [exclusivePeriod] is how long an instance that reports a suspect
 * runs it alone; it covers a retry and the spread of the report. [maxSuspects] bounds memory;
 * [maxReportsPerSecond] bounds the messages when many connections break at once.
 */
public data class QuarantineSettings(
    val maxCrashes: Int = 3,
    val exclusivePeriod: Duration = Duration.ofSeconds(2),
    val suspicionPeriod: Duration = Duration.ofMinutes(1),
    val quarantine: Duration = Duration.ofMinutes(10),
    val maxSuspects: Int = 2_048,
    val maxReportsPerSecond: Int = 20,
    val maxNoticesPerHeartbeat: Int = 8
)

/**
 * A request that was in progress at a server when its connection broke.
 *
 * [peerCrashes] are the counts that other instances reported, each its own. A peer may be running
 * it until [peerRunUntil]. It is forgotten at [until], and refused until then if [quarantined].
 */
public data class Suspect(
    val ownCrashes: Int,
    val peerCrashes: PersistentMap<InstanceId, Int>,
    val peerRunUntil: Instant,
    val until: Instant,
    val quarantined: Boolean
) {
    /** Crashes over all instances, as far as reported. */
    public val crashes: Int get() = ownCrashes + peerCrashes.values.sum()
}

/** Reports sent in the second that began at [since]. */
public data class ReportWindow(val since: Instant = Instant.EPOCH, val reports: Int = 0)

/** Requests under suspicion or in quarantine at this instance. */
public data class QuarantineState(
    val settings: QuarantineSettings = QuarantineSettings(),
    val suspects: PersistentMap<SuspectKey, Suspect> = persistentHashMapOf(),
    val reportWindow: ReportWindow = ReportWindow(),
    val lastSummaryAt: Instant = Instant.EPOCH,
    val summaryCount: Int = 0
) {
    /** The suspect [key]; null when there is none or it expired. */
    public fun suspect(key: SuspectKey, now: Instant): Suspect? =
        if (suspects.isEmpty()) null else suspects[key]?.takeIf { it.until > now }

    /** The suspect [key], or a new one without crashes. */
    internal fun suspectOrNew(key: SuspectKey, now: Instant): Suspect =
        suspect(key, now) ?: Suspect(
            ownCrashes = 0,
            peerCrashes = persistentHashMapOf(),
            peerRunUntil = Instant.EPOCH,
            until = now + settings.suspicionPeriod,
            quarantined = false
        )

    /** Stores [suspect], in quarantine once it reached the greatest number of crashes. */
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

    private fun withinBounds(): QuarantineState {
        if (suspects.size <= settings.maxSuspects) return this
        return remove(suspects.minBy { it.value.until }.key)
    }
}
