package org.wisteriahinge.app

import com.github.f4b6a3.uuid.UuidCreator
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.Closeable
import java.time.Clock
import java.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.wisteriahinge.adapters.backend.BackendClient
import org.wisteriahinge.adapters.backend.ConnectionLimits
import org.wisteriahinge.adapters.backend.LoadProber
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
import org.wisteriahinge.core.limits.CallLimits
import org.wisteriahinge.core.limits.LimitScope
import org.wisteriahinge.core.limits.UsableShares
import org.wisteriahinge.core.membership.Members
import org.wisteriahinge.core.membership.MembershipEvent
import org.wisteriahinge.core.membership.PeerMessage
import org.wisteriahinge.core.membership.QuarantineNotice
import org.wisteriahinge.core.model.Configuration
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.core.retry.Hedging
import org.wisteriahinge.core.retry.RetrySettings
import org.wisteriahinge.core.retry.RetryState
import org.wisteriahinge.core.routing.RoutingPolicy
import org.wisteriahinge.core.routing.RoutingState
import org.wisteriahinge.runtime.AppendRequest
import org.wisteriahinge.runtime.CallMessage
import org.wisteriahinge.runtime.CallsDuty
import org.wisteriahinge.runtime.LogDuty
import org.wisteriahinge.runtime.Offer
import org.wisteriahinge.runtime.Ring
import org.wisteriahinge.runtime.TimerDuty
import org.wisteriahinge.runtime.offerWaiting

private const val CALLS_RING_CAPACITY = 8_192
private const val MAX_CALLS = 1_024
private const val LOG_RING_CAPACITY = 1_024

/** Waiting calls and hedges are looked at this often; short work takes a few milliseconds. */
private val TICK: Duration = Duration.ofMillis(5)

/** Share of short answers that arrive before a hedge starts. */
private const val HEDGE_QUANTILE = 0.95

private val STOP_TIMEOUT: Duration = Duration.ofSeconds(1)

/** One running instance of the load balancer: its duties, rings and adapters. */
public class Instance(private val settings: InstanceSettings, private val clock: Clock) :
    PeerListener,
    Closeable {
    private val registry = PrometheusRegistry()
    private val metrics = CallMetrics(registry)
    private val callsRing = Ring<CallMessage>(
        "calls",
        CALLS_RING_CAPACITY,
        reserved = MAX_CALLS * CallGateway.MESSAGES_PER_CALL
    )
    private val calls = CallsDuty(callsRing, initialState(), ::perform, clock)
    private val timer = TimerDuty("calls", TICK) { callsRing.offer(CallMessage(CallEvent.Ticked)) }
    private val log = HttpPlatformLog(settings.logUrl, settings.log.timeout)
    private val logRing = Ring<AppendRequest>("log", LOG_RING_CAPACITY)
    private val logDuty = LogDuty(logRing, log)
    private val network = settings.peers?.let { PeerNetwork(it, registry, this, clock) }
    private val configuration = ConfigurationPart(
        settings.log.configurationTiming,
        log,
        logRing,
        registry,
        clock,
        network?.let { ConfigurationPeers(it.id, it.link) },
        ::configured
    )
    private val once = OnceService(
        network?.id ?: InstanceId(UuidCreator.getTimeOrderedEpoch().toString()),
        settings.once,
        log,
        logRing,
        callsRing,
        network?.link ?: UnconnectedPeers,
        clock
    )
    private val limits = network?.let {
        LimitsService(it.id, settings.limits, log, logRing, callsRing, clock)
    }
    private val prober = LoadProber(clock, ::offerToCalls)
    private val backend = BackendClient(ConnectionLimits(settings.maxConnectionsPerTarget))
    private val gateway = CallGateway(callsRing, MAX_CALLS)
    private val server = CallerServer(
        CallerServerSettings(
            settings.callerHost,
            settings.callerPort,
            settings.defaultTimeout,
            settings.maxTimeout
        ),
        CallerServerParts(
            gateway = gateway,
            backend = backend,
            hasher = CredentialHasher(settings.credentialKey.encodeToByteArray()),
            clock = clock,
            counters = metrics::count,
            answerListener = AnswerRetention(gateway, settings.once.maxAnswerBytes)
        )
    )

    private fun initialState() = CallsState(
        configuration = Configuration.Empty,
        routing = RoutingState(RoutingPolicy.Wisteriahinge(), settings.zone, settings.seed),
        limits = CallLimits(settings.limits, initialScope()),
        retries = RetryState(RetrySettings(hedging = Hedging.AfterQuantile(HEDGE_QUANTILE)))
    )

    private fun initialScope(): LimitScope = when (settings.peers) {
        null -> LimitScope.WholePlan(since = clock.instant())
        else -> LimitScope.Leased(UsableShares(persistentHashMapOf(), slot = null))
    }

    private fun perform(effect: CallEffect) {
        when (effect) {
            is CallEffect.Count -> metrics.count(effect.counter)
            is CallEffect.Claim -> once.request(effect.request)
            is CallEffect.EndClaim -> once.end(effect.ended)
            is CallEffect.ReportDemand -> limits?.demanded(effect.demands)
            is CallEffect.ReportQuarantine ->
                network?.let { it.link.broadcast(PeerMessage.Quarantine(it.id, effect.notices)) }
            is CallEffect.SummarizeQuarantine ->
                network?.report(MembershipEvent.QuarantineChanged(effect.notices))
            is CallEffect.Probe -> prober.probe(effect.target)
            is CallEffect.TellLoads -> network?.report(MembershipEvent.LoadsChanged(effect.loads))
            is CallEffect.ForCall -> error("$effect is performed by the front end of its call")
        }
    }

    private fun offerToCalls(event: CallEvent) {
        if (callsRing.offer(CallMessage(event)) == Offer.Full) network?.noteRingFull()
    }

    private fun quarantineReported(from: InstanceId, notices: PersistentList<QuarantineNotice>) {
        if (notices.isEmpty()) return
        val offer = callsRing.offer(CallMessage(CallEvent.QuarantineReported(from, notices)))
        if (offer == Offer.Full) network?.noteRingFull()
    }

    private fun configured(next: Configuration) {
        callsRing.offerWaiting(CallMessage(CallEvent.Configured(next)))
        network?.report(MembershipEvent.RevisionChanged(next.revision))
    }

    private fun membersEvent(self: InstanceId, members: Members) =
        CallEvent.MembersChanged(self, members.live)

    override fun membersChanged(members: Members) {
        configuration.membersChanged(members)
        once.liveInstances(members.live.size)
        network?.let { callsRing.offerWaiting(CallMessage(membersEvent(it.id, members))) }
    }

    override fun received(message: PeerMessage) {
        when (message) {
            is PeerMessage.Heartbeat -> {
                configuration.received(message)
                quarantineReported(message.from, message.quarantined)
                if (message.loads.isNotEmpty()) {
                    offerToCalls(CallEvent.PeerLoads(message.from, message.loads))
                }
            }
            is PeerMessage.ConfigurationRequest,
            is PeerMessage.ConfigurationReply -> configuration.received(message)
            is PeerMessage.Quarantine -> quarantineReported(message.from, message.notices)
            is PeerMessage.OutcomeRequest,
            is PeerMessage.OutcomeReply -> once.received(message)
        }
    }

    private fun aloneEvent(): CallEvent {
        val self = InstanceId("alone")
        return CallEvent.MembersChanged(self, persistentSetOf(self))
    }

    /** Starts all duties and returns the port that serves callers. */
    public fun start(): Int {
        calls.start()
        logDuty.start()
        configuration.start()
        once.start()
        limits?.start()
        if (network == null) callsRing.offerWaiting(CallMessage(aloneEvent()))
        network?.start()
        timer.start()
        return server.start()
    }

    override fun close() {
        server.close()
        limits?.close()
        once.close()
        prober.close()
        network?.close()
        configuration.close()
        logDuty.stop(STOP_TIMEOUT)
        timer.stop(STOP_TIMEOUT)
        calls.stop(STOP_TIMEOUT)
        backend.close()
        log.close()
    }
}
