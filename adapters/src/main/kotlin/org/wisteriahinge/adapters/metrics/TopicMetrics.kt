package org.wisteriahinge.adapters.metrics

import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.time.Clock
import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.PersistentMap

private const val MILLIS_PER_SECOND = 1e3

/** Metrics of the topics that this instance follows; [currentAsOf] is given for each by name. */
public class TopicMetrics(
    private val currentAsOf: PersistentMap<String, () -> Instant?>,
    private val clock: Clock
) {
    /** Adds the metrics to [registry]. */
    public fun register(registry: PrometheusRegistry) {
        GaugeWithCallback.builder()
            .name("wisteriahinge_topic_age_seconds")
            .help("Age of the records that this instance acts on; absent before the first read")
            .labelNames("topic")
            .callback { gauge ->
                currentAsOf.forEach { (topic, known) ->
                    known()?.let { gauge.call(ageSeconds(it), topic) }
                }
            }
            .register(registry)
    }

    private fun ageSeconds(asOf: Instant): Double =
        Duration.between(asOf, clock.instant()).toMillis() / MILLIS_PER_SECOND
}
