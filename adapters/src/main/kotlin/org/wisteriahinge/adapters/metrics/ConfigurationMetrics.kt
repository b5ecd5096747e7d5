package org.wisteriahinge.adapters.metrics

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.wisteriahinge.core.configuration.ConfigurationCounter
import org.wisteriahinge.core.configuration.ConfigurationStanding
import org.wisteriahinge.core.configuration.ConfigurationStatus

/** Prometheus metrics of the configuration in force and of the decisions on it. */
public class ConfigurationMetrics(registry: PrometheusRegistry) {
    private val decisions = Counter.builder()
        .name("wisteriahinge_configuration_total")
        .help("Decisions on the configuration, by outcome")
        .labelNames("outcome")
        .register(registry)
    private val revision =
        gauge(registry, "wisteriahinge_configuration_revision", "Revision in force")
    private val newestKnown = gauge(
        registry,
        "wisteriahinge_configuration_newest_known",
        "Newest revision that this instance or a peer has"
    )
    private val unconfirmed = gauge(
        registry,
        "wisteriahinge_configuration_unconfirmed",
        "1 while neither the log nor a peer confirms the revision in force"
    )
    private val dropped = Counter.builder()
        .name("wisteriahinge_configuration_messages_dropped_total")
        .help("Messages of peers dropped because the ring of the configuration duty was full")
        .register(registry)

    init {
        ConfigurationCounter.all.forEach { decisions.initLabelValues(it.wireName) }
    }

    /** Increments the metric that belongs to [counter]. */
    public fun count(counter: ConfigurationCounter) {
        decisions.labelValues(counter.wireName).inc()
    }

    /** Counts a message from a peer that was dropped because the ring was full. */
    public fun countDroppedMessage() {
        dropped.inc()
    }

    /** Sets the gauges to the values in [status]. */
    public fun report(status: ConfigurationStatus) {
        revision.set(status.revision.value.toDouble())
        newestKnown.set(status.newestKnown.value.toDouble())
        unconfirmed.set(
            when (status.standing) {
                ConfigurationStanding.Unconfirmed -> 1.0
                ConfigurationStanding.Absent, ConfigurationStanding.Confirmed -> 0.0
            }
        )
    }

    private fun gauge(registry: PrometheusRegistry, name: String, help: String): Gauge =
        Gauge.builder().name(name).help(help).register(registry)
}
