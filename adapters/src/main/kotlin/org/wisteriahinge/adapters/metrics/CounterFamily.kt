package org.wisteriahinge.adapters.metrics

import io.prometheus.metrics.model.snapshots.CounterSnapshot
import io.prometheus.metrics.model.snapshots.CounterSnapshot.CounterDataPointSnapshot
import io.prometheus.metrics.model.snapshots.Labels
import io.prometheus.metrics.model.snapshots.MetricSnapshots
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf

/** Suffix of a counter's name in the text format; snapshots are named without it. */
private const val COUNTER_SUFFIX = "_total"

/** A counter metric with the names of its labels. */
internal data class CounterFamily(
    val name: String,
    val help: String,
    val labelNames: PersistentList<String>
) {
    /** The time series of this metric with the label values [values]. */
    fun with(vararg values: String): CounterKey = CounterKey(this, persistentListOf(*values))
}

/** One time series of a [family]. */
internal data class CounterKey(val family: CounterFamily, val labelValues: PersistentList<String>)

/** The counts of all time series as Prometheus collects them. */
internal fun PersistentMap<CounterKey, Long>.toSnapshots(): MetricSnapshots {
    val families = entries.groupBy { it.key.family }.map { (family, series) ->
        val snapshot = CounterSnapshot.builder()
            .name(family.name.removeSuffix(COUNTER_SUFFIX))
            .help(family.help)
        series.forEach { (key, count) -> snapshot.dataPoint(key.toDataPoint(count)) }
        snapshot.build()
    }
    return MetricSnapshots(families)
}

private fun CounterKey.toDataPoint(count: Long): CounterDataPointSnapshot {
    val labels = Labels.of(family.labelNames, labelValues)
    return CounterDataPointSnapshot.builder().labels(labels).value(count.toDouble()).build()
}
