package org.wisteriahinge.core.limits

import java.time.Instant
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.wisteriahinge.core.model.CustomerId
import org.wisteriahinge.core.model.InstanceId

/**
 * This instance's lease on one customer's allowance.
 *
 * [usable] may be used until [until] less the skew bound. It is lowered before a record that asks
 * for less is appended, and raised only when the record is read back. [requested] is the newest wish
 * and [requestedSequence] the record that carries it.
 */
public data class Lease(
    val state: LeaseState = LeaseState.Idle,
    val usable: ShareUnits = ShareUnits.None,
    val until: Instant = Instant.MIN,
    val requested: ShareUnits = ShareUnits.None,
    val requestedSequence: Long = 0
)

/** The static slot of this instance, until the end of its term. */
public data class HeldSlot(val slot: Int, val until: Instant)

/** All that the decisions on shares depend on. Owned by the `limits` duty. */
public data class LimitsState(
    val instance: InstanceId,
    val settings: LimitsSettings,
    val ledger: ShareLedger = ShareLedger(settings),
    val leases: PersistentMap<CustomerId, Lease> = persistentHashMapOf(),
    val demands: PersistentMap<CustomerId, Demand> = persistentHashMapOf(),
    val slot: HeldSlot? = null,
    val catchUpOffset: Long? = null,
    val inFlight: String? = null,
    val lastSequence: Long = 0,
    val lastAppendAt: Instant = Instant.MIN,
    val lastSlotAppendAt: Instant = Instant.MIN,
    val stopping: Boolean = false
) {
    /** Whether the records that existed at the start have been read. */
    val isCaughtUp: Boolean get() = catchUpOffset?.let { ledger.nextOffset >= it } ?: false

    internal fun usableShares(): UsableShares = UsableShares(
        leased = leases.entries.filter { it.value.state == LeaseState.Held }
            .fold(persistentHashMapOf()) { all, (customer, lease) ->
                val end = lease.until.minus(settings.maxClockSkew)
                all.put(customer, LeasedShare(lease.usable, end))
            },
        slot = slot?.let { UsableSlot(it.slot, it.until.minus(settings.maxClockSkew)) }
    )
}
