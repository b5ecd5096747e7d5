package org.wisteriahinge.adapters.metrics

import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.instrumentation.jvm.JvmMetrics
import io.prometheus.metrics.model.registry.Collector
import io.prometheus.metrics.model.registry.PrometheusRegistry
import io.prometheus.metrics.model.snapshots.ClassicHistogramBuckets
import io.prometheus.metrics.model.snapshots.HistogramSnapshot
import io.prometheus.metrics.model.snapshots.HistogramSnapshot.HistogramDataPointSnapshot
import io.prometheus.metrics.model.snapshots.Unit as MetricUnit
import java.time.Duration
import java.util.concurrent.atomic.AtomicReference
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList

private const val NANOS_PER_SECOND = 1e9

/** Upper bounds in seconds, finest around the objective of 500 microseconds for 99 % of calls. */
private val addedBounds: PersistentList<Double> = persistentListOf(
    50e-6,
    100e-6,
    200e-6,
    300e-6,
    500e-6,
    750e-6,
    1e-3,
    2e-3,
    5e-3,
    20e-3,
    Double.POSITIVE_INFINITY
)

/** A histogram of the times added to calls: the [counts] of [addedBounds] and the sum. */
private data class AddedTimes(
    val counts: PersistentList<Long> = addedBounds.map { 0L }.toPersistentList(),
    val sumSeconds: Double = 0.0
) {
    fun with(seconds: Double): AddedTimes {
        val bucket = addedBounds.indexOfFirst { seconds <= it }
        return AddedTimes(counts.set(bucket, counts[bucket] + 1), sumSeconds + seconds)
    }

    fun toSnapshot(): HistogramSnapshot {
        val point = HistogramDataPointSnapshot.builder()
            .classicHistogramBuckets(ClassicHistogramBuckets.of(addedBounds, counts))
            .sum(sumSeconds)
        return HistogramSnapshot.builder()
            .name("wisteriahinge_added_seconds")
            .help("Time that this instance added to delivered calls, excluding the target's time")
            .unit(MetricUnit.SECONDS)
            .dataPoint(point.build())
            .build()
    }
}

/**
 * Metrics of the process and of the time that it adds to calls.
 *
 * Prometheus sees them from [register] on; before, its classes are not loaded.
 */
public class InstanceMetrics(private val callsInProgress: () -> Int) {
    private val added = AtomicReference(AddedTimes())

    /** Adds the metrics, including those of the JVM, to [registry]. */
    public fun register(registry: PrometheusRegistry) {
        registry.register(Collector { added.get().toSnapshot() })
        GaugeWithCallback.builder()
            .name("wisteriahinge_calls_in_progress")
            .help("Calls between their arrival and the end of their answer")
            .callback { it.call(callsInProgress().toDouble()) }
            .register(registry)
        JvmMetrics.builder().register(registry)
    }

    /** Records the time that the instance added to one call. */
    public fun added(time: Duration) {
        val seconds = time.toNanos() / NANOS_PER_SECOND
        added.updateAndGet { it.with(seconds) }
    }
}
