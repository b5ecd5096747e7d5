package org.wisteriahinge.adapters.metrics

import io.github.oshai.kotlinlogging.KotlinLogging
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.time.Clock
import java.util.concurrent.atomic.AtomicReference
import kotlinx.collections.immutable.persistentHashMapOf
import org.wisteriahinge.core.model.Address
import org.wisteriahinge.core.quota.QuotaNotice
import org.wisteriahinge.core.quota.RelayFailure
import org.wisteriahinge.runtime.LogRateLimit

private val logger = KotlinLogging.logger {}

private const val LINES_PER_SECOND = 0.5
private const val BURST_LINES = 20.0

/** Logs and measures which relays grant tokens of customers' quotas to this instance. */
public class QuotaRelayMonitor(private val clock: Clock) {
    private val answering = AtomicReference(persistentHashMapOf<Address, Boolean>())

    // Accessed only by the duty that sends the notices.
    private var lines = LogRateLimit(LINES_PER_SECOND, BURST_LINES)

    /** Handles [notice]. Called by one duty only. */
    public fun accept(notice: QuotaNotice) {
        when (notice) {
            is QuotaNotice.RelayLost -> {
                answering.updateAndGet { it.put(notice.relay, false) }
                log { "relay ${notice.relay} grants no quota tokens: it ${text(notice.failure)}" }
            }
            is QuotaNotice.RelayBack -> {
                answering.updateAndGet { it.put(notice.relay, true) }
                log { "relay ${notice.relay} answers questions for quota tokens again" }
            }
        }
    }

    private fun text(failure: RelayFailure): String = when (failure) {
        RelayFailure.Refused -> "refused the connection"
        RelayFailure.Silent -> "did not answer as expected"
    }

    private fun log(text: () -> String) {
        lines = lines.consume(clock.instant()) ?: return
        logger.info { text() }
    }

    /** Adds the metrics to [registry]. */
    public fun register(registry: PrometheusRegistry) {
        GaugeWithCallback.builder()
            .name("wisteriahinge_quota_relay_answering")
            .help("Whether a relay answers questions for quota tokens; absent before a failure")
            .labelNames("relay")
            .callback { gauge ->
                answering.get().forEach { (relay, isAnswering) ->
                    gauge.call(if (isAnswering) 1.0 else 0.0, relay.toString())
                }
            }
            .register(registry)
    }
}
