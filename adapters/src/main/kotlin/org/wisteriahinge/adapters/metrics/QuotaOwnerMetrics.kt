package org.wisteriahinge.adapters.metrics

import io.prometheus.metrics.core.metrics.CounterWithCallback
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.util.concurrent.atomic.AtomicLong

/** What this instance grants of customers' quotas as a relay. */
public class QuotaOwnerMetrics {
    private val customers = AtomicLong()
    private val granted = AtomicLong()
    private val denied = AtomicLong()

    /** This relay grants tokens of [count] customers from now on. */
    internal fun ownedCustomers(count: Int) = customers.set(count.toLong())

    /** An instance asked for tokens; some were [granted], the others [denied]. */
    internal fun answered(granted: Int, denied: Int) {
        this.granted.addAndGet(granted.toLong())
        this.denied.addAndGet(denied.toLong())
    }

    /** Adds the metrics to [registry]. */
    public fun register(registry: PrometheusRegistry) {
        GaugeWithCallback.builder()
            .name("wisteriahinge_quota_owned_customers")
            .help("Customers whose quota tokens this instance grants; 0 if it is no relay")
            .callback { it.call(customers.toDouble()) }
            .register(registry)
        CounterWithCallback.builder()
            .name("wisteriahinge_quota_tokens_total")
            .help("Quota tokens that instances asked this relay for")
            .labelNames("outcome")
            .callback {
                it.call(granted.toDouble(), "granted")
                it.call(denied.toDouble(), "denied")
            }
            .register(registry)
    }
}
