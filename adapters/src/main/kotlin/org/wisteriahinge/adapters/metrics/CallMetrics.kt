package org.wisteriahinge.adapters.metrics

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.wisteriahinge.core.call.CallCounter

/** Prometheus counters for the decisions on calls. */
public class CallMetrics(registry: PrometheusRegistry) {
    private val refused = counter(
        registry,
        "wisteriahinge_refused_total",
        "Calls refused, by reason",
        "reason"
    )
    private val answered = counter(
        registry,
        "wisteriahinge_answered_total",
        "Calls answered by targets",
        "service",
        "status"
    )
    private val attemptsFailed = counter(
        registry,
        "wisteriahinge_attempts_failed_total",
        "Attempts failed",
        "service",
        "failure"
    )
    private val truncated = counter(
        registry,
        "wisteriahinge_truncated_total",
        "Answers that ended early",
        "service"
    )

    /** Adds one to the metric of [counter]. */
    public fun count(counter: CallCounter) {
        when (counter) {
            is CallCounter.Refused -> refused.labelValues(counter.reason.wireName).inc()
            is CallCounter.Answered ->
                answered.labelValues(counter.service.value, counter.status.toString()).inc()
            is CallCounter.AttemptFailed ->
                attemptsFailed.labelValues(counter.service.value, counter.failure.wireName).inc()
            is CallCounter.Truncated -> truncated.labelValues(counter.service.value).inc()
        }
    }

    private fun counter(
        registry: PrometheusRegistry,
        name: String,
        help: String,
        vararg labels: String
    ): Counter = Counter.builder().name(name).help(help).labelNames(*labels).register(registry)
}
