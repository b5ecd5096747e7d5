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
    private val probes = counter(
        registry,
        "wisteriahinge_probes_total",
        "Load probes sent and failed",
        "service",
        "event"
    )
    private val truncated = counter(
        registry,
        "wisteriahinge_truncated_total",
        "Answers that ended early",
        "service"
    )
    private val retried = counter(
        registry,
        "wisteriahinge_retries_total",
        "Failed attempts followed by another one",
        "service",
        "reason"
    )
    private val retriesDenied = counter(
        registry,
        "wisteriahinge_retries_denied_total",
        "Failed attempts not followed by another one",
        "service",
        "denial"
    )
    private val hedged = counter(
        registry,
        "wisteriahinge_hedges_total",
        "Slow attempts hedged",
        "service"
    )
    private val hedgesDenied = counter(
        registry,
        "wisteriahinge_hedges_denied_total",
        "Slow attempts not hedged",
        "service",
        "denial"
    )
    private val hedgesWon = counter(
        registry,
        "wisteriahinge_hedges_won_total",
        "Hedges that answered first",
        "service"
    )
    private val crashesSuspected = counter(
        registry,
        "wisteriahinge_crashes_suspected_total",
        "Connections broken while a request ran",
        "service"
    )

    /** Increments the metric that belongs to [counter]. */
    public fun count(counter: CallCounter) {
        when (counter) {
            is CallCounter.Refused -> refused.labelValues(counter.reason.wireName).inc()
            is CallCounter.Answered ->
                answered.labelValues(counter.service.value, counter.status.toString()).inc()
            is CallCounter.AttemptFailed ->
                attemptsFailed.labelValues(counter.service.value, counter.failure.wireName).inc()
            is CallCounter.Retried ->
                retried.labelValues(counter.service.value, counter.reason.wireName).inc()
            is CallCounter.RetryDenied ->
                retriesDenied.labelValues(counter.service.value, counter.denial.wireName).inc()
            is CallCounter.Hedged -> hedged.labelValues(counter.service.value).inc()
            is CallCounter.HedgeDenied ->
                hedgesDenied.labelValues(counter.service.value, counter.denial.wireName).inc()
            is CallCounter.HedgeWon -> hedgesWon.labelValues(counter.service.value).inc()
            is CallCounter.CrashSuspected ->
                crashesSuspected.labelValues(counter.service.value).inc()
            is CallCounter.ProbeSent -> probes.labelValues(counter.service.value, "sent").inc()
            is CallCounter.ProbeFailed -> probes.labelValues(counter.service.value, "failed").inc()
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
