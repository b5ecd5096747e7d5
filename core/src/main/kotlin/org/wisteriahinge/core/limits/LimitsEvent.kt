package org.wisteriahinge.core.limits

import java.time.Instant
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import org.wisteriahinge.core.model.CustomerId
import org.wisteriahinge.core.once.AppendOutcome

/** What can happen to the shares of an instance. */
public sealed interface LimitsEvent {
    /** What the customers could use of their allowances here. */
    public data class DemandReported(val demands: PersistentMap<CustomerId, Demand>) : LimitsEvent

    /** The stream's retained offsets, read once when the instance starts. */
    public data class Bounded(val earliest: Long, val next: Long) : LimitsEvent

    /** Records of the stream in order. */
    public data class Read(val batches: PersistentList<ReadShares>) : LimitsEvent

    /** Records before [earliest] expired unread, or the stream began anew there. */
    public data class Gap(val earliest: Long) : LimitsEvent

    /** The `log` duty finished the append [appendId]. */
    public data class AppendSettled(val appendId: String, val outcome: AppendOutcome) : LimitsEvent

    /** The instance stops; its shares and its slot are returned. */
    public data object Stopping : LimitsEvent

    /** Time passed; terms and renewals are looked at. */
    public data object Ticked : LimitsEvent
}

/** The shares that an instance may use now. */
public data class UsableShares(
    val leased: PersistentMap<CustomerId, LeasedShare>,
    val slot: UsableSlot?
)

/** The static slot number [slot], which may be used until [usableUntil]. */
public data class UsableSlot(val slot: Int, val usableUntil: Instant)

/** A leased share that may be used until [usableUntil]. */
public data class LeasedShare(val grants: ShareUnits, val usableUntil: Instant)

/** What the decisions on shares ask their surroundings to do. */
public sealed interface LimitsEffect {
    /** Append [batch] to the stream `shares`. */
    public data class Append(val batch: ShareBatch) : LimitsEffect

    /** Tell the `calls` duty which shares it may use from now on. */
    public data class Announce(val shares: UsableShares) : LimitsEffect
}

/** The next state and the effects that lead to it, in order. */
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
