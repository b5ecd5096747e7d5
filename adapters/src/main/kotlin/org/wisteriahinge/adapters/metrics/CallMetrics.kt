package org.wisteriahinge.adapters.metrics

import io.prometheus.metrics.model.registry.MultiCollector
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.util.concurrent.atomic.AtomicReference
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentHashSetOf
import kotlinx.collections.immutable.persistentListOf
import org.wisteriahinge.core.call.CallCounter

/**
 * Counters for the decisions on calls.
 *
 * Prometheus sees them from [register] on. Counting does not load its classes, which would delay
 * the start.
 */
public class CallMetrics {
    private val counts = AtomicReference(persistentHashMapOf<CounterKey, Long>())
    private val quotaCustomers = AtomicReference(persistentHashSetOf<String>())

    /** Increments the metric that belongs to [counter]. */
    public fun count(counter: CallCounter) {
        val key = keyOf(counter)
        counts.updateAndGet { it.put(key, (it[key] ?: 0) + 1) }
    }

    /** Adds the counters to [registry]. */
    public fun register(registry: PrometheusRegistry) {
        registry.register(MultiCollector { counts.get().toSnapshots() })
    }

    private fun keyOf(counter: CallCounter): CounterKey = when (counter) {
        is CallCounter.Refused -> REFUSED.with(counter.reason.wireName)
        is CallCounter.RoomDenied ->
            ROOM_DENIED.with(counter.service.value, counter.denial.wireName)
        is CallCounter.Answered ->
            ANSWERED.with(counter.service.value, counter.status.toString())
        is CallCounter.AttemptFailed ->
            ATTEMPTS_FAILED.with(counter.service.value, counter.failure.wireName)
        is CallCounter.Retried -> RETRIES.with(counter.service.value, counter.reason.wireName)
        is CallCounter.RetryDenied ->
            RETRIES_DENIED.with(counter.service.value, counter.denial.wireName)
        is CallCounter.Hedged -> HEDGES.with(counter.service.value)
        is CallCounter.HedgeDenied ->
            HEDGES_DENIED.with(counter.service.value, counter.denial.wireName)
        is CallCounter.HedgeWon -> HEDGES_WON.with(counter.service.value)
        is CallCounter.HandedOver ->
            HANDED_OVER.with(counter.service.value, counter.cause.wireName)
        is CallCounter.CrashSuspected -> CRASHES_SUSPECTED.with(counter.service.value)
        is CallCounter.ProbeSent -> PROBES.with(counter.service.value, "sent")
        is CallCounter.ProbeFailed -> PROBES.with(counter.service.value, "failed")
        is CallCounter.RateLimited ->
            RATE_LIMITED.with(counter.service.value, counter.outcome.wireName)
        is CallCounter.ClientClosed ->
            CLIENTS_CLOSED.with(counter.address.wireName, counter.reason.wireName)
        is CallCounter.Quota -> quotaKey(counter)
        is CallCounter.Truncated -> TRUNCATED.with(counter.service.value)
    }

    /** Customers beyond the bound are counted together. */
    private fun quotaKey(counter: CallCounter.Quota): CounterKey {
        val customer = counter.customer.value
        val known = quotaCustomers.updateAndGet {
            if (it.size < MAX_QUOTA_CUSTOMERS) it.add(customer) else it
        }
        val label = if (customer in known) customer else OTHER_CUSTOMERS
        return QUOTA.with(label, counter.outcome.wireName)
    }

    private companion object {
        const val MAX_QUOTA_CUSTOMERS = 200
        const val OTHER_CUSTOMERS = "other"
        val QUOTA = family(
            "wisteriahinge_quota_requests_total",
            "Requests of customers with quotas, by whether they got a token",
            "customer",
            "outcome"
        )
        val REFUSED =
            family("wisteriahinge_refused_total", "Calls refused, by reason", "reason")
        val ROOM_DENIED = family(
            "wisteriahinge_room_denied_total",
            "Calls refused for lack of room at the targets, by cause",
            "service",
            "cause"
        )
        val ANSWERED = family(
            "wisteriahinge_answered_total",
            "Calls answered by targets",
            "service",
            "status"
        )
        val ATTEMPTS_FAILED = family(
            "wisteriahinge_attempts_failed_total",
            "Attempts failed",
            "service",
            "failure"
        )
        val PROBES = family(
            "wisteriahinge_probes_total",
            "Load probes sent and failed",
            "service",
            "event"
        )
        val TRUNCATED =
            family("wisteriahinge_truncated_total", "Answers that ended early", "service")
        val CLIENTS_CLOSED = family(
            "wisteriahinge_clients_closed_total",
            "Connections closed to protect other clients",
            "address",
            "reason"
        )
        val RATE_LIMITED = family(
            "wisteriahinge_rate_limited_total",
            "Requests that targets must not get because of their rate limits",
            "service",
            "outcome"
        )
        val RETRIES = family(
            "wisteriahinge_retries_total",
            "Failed attempts followed by another one",
            "service",
            "reason"
        )
        val RETRIES_DENIED = family(
            "wisteriahinge_retries_denied_total",
            "Failed attempts not followed by another one",
            "service",
            "denial"
        )
        val HEDGES = family("wisteriahinge_hedges_total", "Slow attempts hedged", "service")
        val HEDGES_DENIED = family(
            "wisteriahinge_hedges_denied_total",
            "Slow attempts not hedged",
            "service",
            "denial"
        )
        val HEDGES_WON =
            family("wisteriahinge_hedges_won_total", "Hedges that answered first", "service")
        val HANDED_OVER = family(
            "wisteriahinge_handed_over_total",
            "Attempts sent to another instance",
            "service",
            "cause"
        )
        val CRASHES_SUSPECTED = family(
            "wisteriahinge_crashes_suspected_total",
            "Connections broken while a request ran",
            "service"
        )

        fun family(name: String, help: String, vararg labels: String): CounterFamily =
            CounterFamily(name, help, persistentListOf(*labels))
    }
}
