package org.wisteriahinge.app

import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.Closeable
import java.time.Clock
import java.time.Duration
import org.wisteriahinge.adapters.backend.BackendClient
import org.wisteriahinge.adapters.backend.ConnectionLimits
import org.wisteriahinge.adapters.caller.CallGateway
import org.wisteriahinge.adapters.caller.CallerServer
import org.wisteriahinge.adapters.caller.CallerServerParts
import org.wisteriahinge.adapters.caller.CallerServerSettings
import org.wisteriahinge.adapters.caller.CredentialHasher
import org.wisteriahinge.adapters.log.HttpPlatformLog
import org.wisteriahinge.adapters.metrics.CallMetrics
import org.wisteriahinge.core.call.CallEffect
import org.wisteriahinge.core.call.CallEvent
import org.wisteriahinge.core.call.CallsState
import org.wisteriahinge.core.model.Configuration
import org.wisteriahinge.core.routing.RoutingPolicy
import org.wisteriahinge.core.routing.RoutingState
import org.wisteriahinge.runtime.AppendRequest
import org.wisteriahinge.runtime.CallMessage
import org.wisteriahinge.runtime.CallsDuty
import org.wisteriahinge.runtime.LogDuty
import org.wisteriahinge.runtime.Ring
import org.wisteriahinge.runtime.offerWaiting

private const val CALLS_RING_CAPACITY = 8_192
private const val MAX_CALLS = 1_024
private const val LOG_RING_CAPACITY = 1_024
private val STOP_TIMEOUT: Duration = Duration.ofSeconds(1)

/** One running instance of the load balancer: its duties, rings and adapters. */
public class Instance(private val settings: InstanceSettings, clock: Clock) : Closeable {
    private val registry = PrometheusRegistry()
    private val metrics = CallMetrics(registry)
    private val callsRing = Ring<CallMessage>(
        "calls",
        CALLS_RING_CAPACITY,
        reserved = MAX_CALLS * CallGateway.MESSAGES_PER_CALL
    )
    private val calls = CallsDuty(callsRing, initialState(), ::perform, clock)
    private val log = HttpPlatformLog(settings.logUrl, settings.logTimeout)
    private val logRing = Ring<AppendRequest>("log", LOG_RING_CAPACITY)
    private val logDuty = LogDuty(logRing, log)
    private val configuration = ConfigurationPart(
        settings.configurationTiming,
        log,
        logRing,
        registry,
        clock
    ) { callsRing.offerWaiting(CallMessage(CallEvent.Configured(it))) }
    private val backend = BackendClient(ConnectionLimits(settings.maxConnectionsPerTarget))
    private val server = CallerServer(
        CallerServerSettings(
            settings.callerHost,
            settings.callerPort,
            settings.defaultTimeout,
            settings.maxTimeout
        ),
        CallerServerParts(
            gateway = CallGateway(callsRing, MAX_CALLS),
            backend = backend,
            hasher = CredentialHasher(settings.credentialKey.encodeToByteArray()),
            clock = clock,
            counters = metrics::count
        )
    )

    private fun initialState() = CallsState(
        configuration = Configuration.Empty,
        routing = RoutingState(RoutingPolicy.TwoChoices, settings.zone, settings.seed)
    )

    private fun perform(effect: CallEffect) {
        if (effect is CallEffect.Count) metrics.count(effect.counter)
    }

    /** Starts all duties and returns the port that serves callers. */
    public fun start(): Int {
        calls.start()
        logDuty.start()
        configuration.start()
        return server.start()
    }

    override fun close() {
        server.close()
        configuration.close()
        logDuty.stop(STOP_TIMEOUT)
        calls.stop(STOP_TIMEOUT)
        backend.close()
        log.close()
    }
}
