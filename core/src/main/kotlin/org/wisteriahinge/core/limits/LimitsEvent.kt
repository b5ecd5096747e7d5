package org.wisteriahinge.core.limits

import java.time.Instant
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import org.wisteriahinge.core.model.CustomerId
import org.wisteriahinge.core.once.AppendOutcome

/** An event for [LimitsState.decide]. */
public sealed interface LimitsEvent {
    /** The `calls` duty reported the demand of each customer at this instance. */
    public data class DemandReported(val demands: PersistentMap<CustomerId, Demand>) : LimitsEvent

    /** The offsets that the stream `shares` retains, read once when the instance starts. */
    public data class BoundsRead(val earliest: Long, val next: Long) : LimitsEvent

    /** Records of the stream `shares` in order. */
    public data class Read(val batches: PersistentList<ReadShares>) : LimitsEvent

    /** Records before [earliest] expired before they were read, or the stream restarted there. */
    public data class Gap(val earliest: Long) : LimitsEvent

    /** The append [appendId] of the `log` duty ended with [outcome]. */
    public data class AppendSettled(val appendId: String, val outcome: AppendOutcome) : LimitsEvent

    /** The instance is stopping and returns its shares and its slot. */
    public data object Stopping : LimitsEvent

    /** Time passed; the ends of terms and due renewals are checked. */
    public data object Ticked : LimitsEvent
}

/** The leased shares and the static slot that this instance may use. */
public data class UsableShares(
    val leased: PersistentMap<CustomerId, LeasedShare>,
    val slot: UsableSlot?
)

/** The static slot with the number [slot], usable until [usableUntil]. */
public data class UsableSlot(val slot: Int, val usableUntil: Instant)

/**
 * A leased share, usable until [usableUntil].
 *
 * [neverHeld] sums up the parts that no instance held before they were granted here. It only grows;
 * nobody has used the tokens of these parts.
 */
public data class LeasedShare(
    val grants: ShareUnits,
    val usableUntil: Instant,
    val neverHeld: ShareUnits = ShareUnits.None
)

/** An effect of a decision on shares, performed by the `limits` duty's effect sink. */
public sealed interface LimitsEffect {
    /** Appends [batch] to the stream `shares`. */
    public data class Append(val batch: ShareBatch) : LimitsEffect

    /** Reports to the `calls` duty which shares it may use from now on. */
    public data class Announce(val shares: UsableShares) : LimitsEffect
}

/** The state after an event, and the effects to perform in order. */
public data class LimitsDecision(
    val state: LimitsState,
    val effects: PersistentList<LimitsEffect> = persistentListOf()
) {
    internal fun emit(effect: LimitsEffect): LimitsDecision = copy(effects = effects.add(effect))

    internal fun then(next: (LimitsState) -> LimitsDecision): LimitsDecision {
        val decision = next(state)
        return LimitsDecision(decision.state, effects.addAll(decision.effects))
    }
}
