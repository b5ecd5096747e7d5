package org.wisteriahinge.adapters.metrics

import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.instrumentation.jvm.JvmMetrics
import io.prometheus.metrics.model.registry.PrometheusRegistry
import io.prometheus.metrics.model.snapshots.Unit as MetricUnit
import java.time.Duration

private const val NANOS_PER_SECOND = 1e9

/** Prometheus metrics of the process and of the time that it adds to calls. */
public class InstanceMetrics(private val registry: PrometheusRegistry, callsInProgress: () -> Int) {
    // Buckets in seconds, finest around the objective of 500 microseconds for 99 % of calls.
    private val added = Histogram.builder()
        .name("wisteriahinge_added_seconds")
        .help("Time that this instance added to delivered calls, excluding the target's time")
        .unit(MetricUnit.SECONDS)
        .classicOnly()
        .classicUpperBounds(50e-6, 100e-6, 200e-6, 300e-6, 500e-6, 750e-6, 1e-3, 2e-3, 5e-3, 20e-3)
        .register(registry)

    init {
        GaugeWithCallback.builder()
            .name("wisteriahinge_calls_in_progress")
            .help("Calls between their arrival and the end of their answer")
            .callback { it.call(callsInProgress().toDouble()) }
            .register(registry)
    }

    /** Registers the metrics of the JVM. Separate, because it is slow and would delay startup. */
    public fun addJvmMetrics() {
        JvmMetrics.builder().register(registry)
    }

    /** Records the time that the instance added to one call. */
    public fun added(time: Duration) {
        added.observe(time.toNanos() / NANOS_PER_SECOND)
    }
}
