package org.wisteriahinge.adapters.metrics

import io.github.oshai.kotlinlogging.KotlinLogging
import io.prometheus.metrics.core.metrics.CounterWithCallback
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.time.Clock
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.wisteriahinge.core.ratelimit.RateLimitNotice
import org.wisteriahinge.core.ratelimit.RateLimitStatus
import org.wisteriahinge.runtime.LogRateLimit

private val logger = KotlinLogging.logger {}

private const val LINES_PER_SECOND = 5.0
private const val BURST_LINES = 50.0

/** Longest part of an invalid limit that a log line repeats. */
private const val MAX_LOGGED_CHARS = 40

/** Logs changes of the targets' rate limits and exports the limits in force as metrics. */
public class RateLimitMonitor(private val clock: Clock) {
    private val inForce =
        AtomicReference<PersistentList<RateLimitStatus>>(persistentListOf())
    private val invalid = AtomicLong()

    // Accessed only by the duty that sends the notices.
    private var lines = LogRateLimit(LINES_PER_SECOND, BURST_LINES)

    /** Handles [notice]. Called by one duty only. */
    public fun accept(notice: RateLimitNotice) {
        when (notice) {
            is RateLimitNotice.Changed -> replace(notice.limits)
            is RateLimitNotice.Invalid -> rejected(notice)
        }
    }

    private fun rejected(notice: RateLimitNotice.Invalid) {
        invalid.incrementAndGet()
        log {
            val value = notice.value.take(MAX_LOGGED_CHARS)
            "target ${notice.target} names the limit '$value'; expected requests per second as a " +
                "decimal number; its limit before stays in force"
        }
    }

    private fun replace(limits: PersistentList<RateLimitStatus>) {
        val before = inForce.getAndSet(limits).associateBy { it.target }
        val after = limits.associateBy { it.target }
        after.values.filter { it.differsFrom(before[it.target]) }.forEach { limit ->
            log {
                "target ${limit.target} of service ${limit.service} accepts " +
                    "${limit.requestsPerSecond} requests/s from all instances together"
            }
        }
        (before.keys - after.keys).forEach { target ->
            log { "target $target names no limit any more" }
        }
    }

    private fun log(text: () -> String) {
        lines = lines.consume(clock.instant()) ?: return
        logger.info { text() }
    }

    /** Adds the metrics to [registry]. */
    public fun register(registry: PrometheusRegistry) {
        registry.registerRates(
            "wisteriahinge_target_rate_limit",
            "Requests per second that a target accepts from all instances together",
            RateLimitStatus::requestsPerSecond
        )
        registry.registerRates(
            "wisteriahinge_target_rate_limit_share",
            "Requests per second that a target accepts from this instance",
            RateLimitStatus::ownPerSecond
        )
        CounterWithCallback.builder()
            .name("wisteriahinge_rate_limits_invalid_total")
            .help("Answers that named a limit that is not a rate")
            .callback { it.call(invalid.toDouble()) }
            .register(registry)
    }

    private fun PrometheusRegistry.registerRates(
        name: String,
        help: String,
        rate: (RateLimitStatus) -> Double
    ) {
        GaugeWithCallback.builder()
            .name(name)
            .help(help)
            .labelNames("service", "target")
            .callback { gauge ->
                inForce.get().forEach {
                    gauge.call(rate(it), it.service.value, it.target.value)
                }
            }
            .register(this)
    }
}

private fun RateLimitStatus.differsFrom(before: RateLimitStatus?): Boolean =
    requestsPerSecond != before?.requestsPerSecond
