package org.wisteriahinge.core.admission

import java.time.Instant
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.CustomerId

/** A queued call. [weight] is the weight of its customer's plan. */
public data class QueuedCall(
    val callId: CallId,
    val customer: CustomerId,
    val weight: Int,
    val deadline: Instant
)

/**
 * The queued calls of one customer, oldest first.
 *
 * [finish] is the virtual finish time of the customer's last dequeued call.
 */
public data class CustomerQueue(
    val waiting: PersistentList<QueuedCall>,
    val weight: Int,
    val finish: Double
) {
    internal val load: Double get() = waiting.size.toDouble() / weight
}

/** A call taken from a [FairQueue], and the remaining queue. */
public data class DequeuedCall(val waiting: QueuedCall, val queue: FairQueue)

/**
 * A weighted fair queue: customers get calls dequeued in proportion to their weights.
 *
 * Each dequeued call advances its customer's virtual finish time by 1 / weight. The customer with
 * the smallest finish time is next. A customer that joins starts at [virtualTime], so that it gains
 * no credit for the time without calls.
 */
public data class FairQueue(
    val customers: PersistentMap<CustomerId, CustomerQueue> = persistentHashMapOf(),
    val virtualTime: Double = 0.0,
    val size: Int = 0
) {
    public fun add(call: QueuedCall): FairQueue {
        val weight = call.weight.coerceAtLeast(1)
        val known = customers[call.customer]
            ?: CustomerQueue(persistentListOf(), weight, virtualTime)
        val longer = known.copy(waiting = known.waiting.add(call), weight = weight)
        return copy(customers = customers.put(call.customer, longer), size = size + 1)
    }

    /** Takes the next call by fair share; null if the queue is empty. */
    public fun take(): DequeuedCall? {
        val (customer, queue) = customers.minByOrNull { it.value.finish } ?: return null
        val rest = queue.copy(
            waiting = queue.waiting.removeAt(0),
            finish = queue.finish + 1.0 / queue.weight
        )
        return DequeuedCall(
            queue.waiting.first(),
            copy(virtualTime = maxOf(virtualTime, queue.finish)).replace(customer, rest)
        )
    }

    /** Removes the call [callId] of [customer]; does nothing if it is not queued. */
    public fun remove(callId: CallId, customer: CustomerId): FairQueue {
        val queue = customers[customer] ?: return this
        val index = queue.waiting.indexOfFirst { it.callId == callId }
        if (index < 0) return this
        return replace(customer, queue.copy(waiting = queue.waiting.removeAt(index)))
    }

    /**
     * The call to drop from a full queue in favour of a new call of [customer].
     *
     * This is the newest call of the customer with the most queued calls per weight, if that is
     * more than [customer] would have with the new call; null otherwise.
     */
    public fun displacedBy(customer: CustomerId, weight: Int): QueuedCall? {
        val own = customers[customer]?.waiting?.size ?: 0
        val load = (own + 1.0) / weight.coerceAtLeast(1)
        return customers.values.maxByOrNull { it.load }?.takeIf { it.load > load }?.waiting?.last()
    }

    /** Estimated number of calls that are dequeued before a new one of [customer]. */
    public fun callsAhead(customer: CustomerId, weight: Int): Double {
        val own = customers[customer]?.waiting?.size ?: 0
        val others = customers.filterKeys { it != customer }.values
        val share = weight.coerceAtLeast(1).toDouble()
        return own + others.sumOf { minOf(it.waiting.size.toDouble(), own * it.weight / share + 1) }
    }

    /** Calls whose deadline is at or before [limit]. */
    public fun expired(limit: Instant): List<QueuedCall> =
        customers.values.flatMap { queue -> queue.waiting.filter { it.deadline <= limit } }

    private fun replace(customer: CustomerId, queue: CustomerQueue): FairQueue {
        val kept = if (queue.waiting.isEmpty()) {
            customers.remove(customer)
        } else {
            customers.put(customer, queue)
        }
        return copy(customers = kept, size = size - 1)
    }
}
