package org.wisteriahinge.core.crashreport

import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList

/** Most counts that one write holds. */
internal const val MAX_COUNTS_PER_WRITE = 200

/** Most counts that wait to be written; further ones are left out. */
internal const val MAX_UNWRITTEN = 2_048

/** Time between writes; crashes in it share a write, as when a server ends with many requests. */
private val WRITE_PERIOD: Duration = Duration.ofMillis(100)

/** Time after which a count is not written again; it is as long as a quarantine. */
private val HOLD_PERIOD: Duration = Duration.ofMinutes(10)

/** Delay after a failed write. */
private val RETRY_PERIOD: Duration = Duration.ofMillis(300)

/** An input to [CrashReportsState.decide]. */
public sealed interface CrashReportsEvent {
    /** The instance holds new [counts]. */
    public data class Reported(val counts: PersistentList<CrashCount>) : CrashReportsEvent

    /** The store accepted the [counts]. */
    public data class Written(val counts: PersistentList<CrashCount>) : CrashReportsEvent

    /** The store came back from an older copy, which may lack counts that it had accepted. */
    public data object StoreRestored : CrashReportsEvent

    /** The store did not answer a write, or refused it. */
    public data object WriteFailed : CrashReportsEvent

    /** Time has passed. */
    public data object Ticked : CrashReportsEvent
}

/** An action that a decision on the reports requests. */
public sealed interface CrashReportsEffect {
    /** Write the [counts] to the store; a later one replaces an earlier one with its key. */
    public data class Write(val counts: PersistentList<CrashCount>) : CrashReportsEffect
}

/** The next state and the effects to perform, in order. */
public data class CrashReportsDecision(
    val state: CrashReportsState,
    val effects: PersistentList<CrashReportsEffect> = persistentListOf()
)

/** A count that was reported at [reportedAt]. */
public data class HeldCount(val count: CrashCount, val reportedAt: Instant)

/**
 * The counts of crashes that the store does not hold yet, and all that it should hold, which are
 * written again if it loses them.
 */
public data class CrashReportsState(
    val phase: CrashReportsPhase = crashReportsChart.initial,
    val unwritten: PersistentMap<CrashCountKey, CrashCount> = persistentHashMapOf(),
    val held: PersistentMap<CrashCountKey, HeldCount> = persistentHashMapOf(),
    val nextWriteAt: Instant = Instant.MAX,
    val lastWriteAt: Instant = Instant.EPOCH
) {
    /** Decides on [event] at [now]. */
    public fun decide(event: CrashReportsEvent, now: Instant): CrashReportsDecision = when (event) {
        is CrashReportsEvent.Reported -> CrashReportsDecision(reported(event.counts, now))
        is CrashReportsEvent.Written -> CrashReportsDecision(written(event.counts, now))
        CrashReportsEvent.StoreRestored -> CrashReportsDecision(restored(now))
        CrashReportsEvent.WriteFailed ->
            CrashReportsDecision(step(CrashReportsTrigger.Failed, now))
        CrashReportsEvent.Ticked -> ticked(now)
    }

    private fun reported(counts: PersistentList<CrashCount>, now: Instant): CrashReportsState =
        counts.fold(this) { state, count -> state.with(count).holding(count, now) }
            .step(CrashReportsTrigger.Reported, now)

    private fun with(count: CrashCount): CrashReportsState =
        if (unwritten.size >= MAX_UNWRITTEN && count.key !in unwritten) {
            this
        } else {
            copy(unwritten = unwritten.put(count.key, count))
        }

    private fun holding(count: CrashCount, now: Instant): CrashReportsState {
        if (count.crashes == 0) return copy(held = held.remove(count.key))
        val current = if (held.size < MAX_UNWRITTEN) held else held.withoutOldest()
        return copy(held = current.put(count.key, HeldCount(count, now)))
    }

    private fun restored(now: Instant): CrashReportsState {
        val current = held.values.filter { it.reportedAt + HOLD_PERIOD > now }
        if (current.isEmpty()) return this
        return current.fold(this) { state, held -> state.with(held.count) }
            .step(CrashReportsTrigger.Reported, now)
    }

    /** A count that changed while it was written is written again. */
    private fun written(counts: PersistentList<CrashCount>, now: Instant): CrashReportsState {
        val left = counts.fold(unwritten) { all, count ->
            if (all[count.key] == count) all.remove(count.key) else all
        }
        val trigger = if (left.isEmpty()) {
            CrashReportsTrigger.Written
        } else {
            CrashReportsTrigger.PartlyWritten
        }
        return copy(unwritten = left).step(trigger, now)
    }

    private fun ticked(now: Instant): CrashReportsDecision {
        if (nextWriteAt > now) return CrashReportsDecision(this)
        val counts = unwritten.values.take(MAX_COUNTS_PER_WRITE).toPersistentList()
        val writing = copy(nextWriteAt = Instant.MAX, lastWriteAt = now)
        return CrashReportsDecision(writing, persistentListOf(CrashReportsEffect.Write(counts)))
    }

    private fun step(trigger: CrashReportsTrigger, now: Instant): CrashReportsState {
        val step = crashReportsChart.step(phase, trigger)
        return step.effects.fold(copy(phase = step.state)) { state, action ->
            state.perform(action, now)
        }
    }

    private fun perform(action: CrashReportsAction, now: Instant): CrashReportsState =
        when (action) {
            CrashReportsAction.WriteSoon ->
                copy(nextWriteAt = maxOf(now, lastWriteAt + WRITE_PERIOD))
            CrashReportsAction.BackOff -> copy(nextWriteAt = now + RETRY_PERIOD)
            CrashReportsAction.StopWriting -> copy(nextWriteAt = Instant.MAX)
        }
}

private fun PersistentMap<CrashCountKey, HeldCount>.withoutOldest() =
    remove(minBy { it.value.reportedAt }.key)
