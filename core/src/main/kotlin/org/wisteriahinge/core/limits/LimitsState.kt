package org.wisteriahinge.core.limits

import java.time.Instant
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.wisteriahinge.core.model.CustomerId
import org.wisteriahinge.core.model.InstanceId

/**
 * This instance's lease on one customer's allowance.
 *
 * @property usable the share that may be used until [until] minus [LimitsSettings.maxClockSkew]. It
 * is lowered before a record that requests less is appended, and raised only when a record is read
 * back.
 * @property requested the share in the newest request.
 * @property requestedSequence the sequence number of the batch with the newest request.
 * @property neverHeld the sum of the parts that no instance held before they were granted here.
 */
public data class Lease(
    val state: LeaseState = LeaseState.Idle,
    val usable: ShareUnits = ShareUnits.None,
    val until: Instant = Instant.MIN,
    val requested: ShareUnits = ShareUnits.None,
    val requestedSequence: Long = 0,
    val neverHeld: ShareUnits = ShareUnits.None
)

/** The static slot that this instance holds until the end of its term, [until]. */
public data class HeldSlot(val slot: Int, val until: Instant)

/**
 * The state of the decisions on shares. Owned by the `limits` duty.
 *
 * @property catchUpOffset the end of the stream `shares` when this instance started; nothing is
 * appended before the stream was read up to it.
 * @property inFlight the append id of the batch that the `log` duty is appending; at most one at a
 * time.
 */
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
    /** Whether all records that existed when this instance started were read. */
    val isCaughtUp: Boolean get() = catchUpOffset?.let { ledger.nextOffset >= it } ?: false

    internal fun usableShares(): UsableShares = UsableShares(
        leased = leases.entries.filter { it.value.state == LeaseState.Held }
            .fold(persistentHashMapOf()) { all, (customer, lease) ->
                val end = lease.until.minus(settings.maxClockSkew)
                all.put(customer, LeasedShare(lease.usable, end, lease.neverHeld))
            },
        slot = slot?.let { UsableSlot(it.slot, it.until.minus(settings.maxClockSkew)) }
    )
}
