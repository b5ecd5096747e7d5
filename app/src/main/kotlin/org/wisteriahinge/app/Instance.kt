package org.wisteriahinge.app

import com.github.f4b6a3.uuid.UuidCreator
import io.github.oshai.kotlinlogging.KotlinLogging
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.Closeable
import java.io.IOException
import java.time.Clock
import java.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.wisteriahinge.adapters.admin.AdminAddress
import org.wisteriahinge.adapters.admin.AdminServer
import org.wisteriahinge.adapters.backend.ConnectionLimits
import org.wisteriahinge.adapters.backend.LoadDocumentReader
import org.wisteriahinge.adapters.caller.CallerServerSettings
import org.wisteriahinge.adapters.log.HttpPlatformLog
import org.wisteriahinge.core.call.CallEffect
import org.wisteriahinge.core.call.CallEvent
import org.wisteriahinge.core.call.CallsState
import org.wisteriahinge.core.lifecycle.LifecycleAction
import org.wisteriahinge.core.lifecycle.LifecycleEvent
import org.wisteriahinge.core.limits.CallLimits
import org.wisteriahinge.core.limits.LimitScope
import org.wisteriahinge.core.limits.UsableShares
import org.wisteriahinge.core.membership.Members
import org.wisteriahinge.core.membership.MembershipEvent
import org.wisteriahinge.core.membership.PeerMessage
import org.wisteriahinge.core.membership.PeerPhase
import org.wisteriahinge.core.membership.QuarantineNotice
import org.wisteriahinge.core.model.Configuration
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.core.retry.Hedging
import org.wisteriahinge.core.retry.RetrySettings
import org.wisteriahinge.core.retry.RetryState
import org.wisteriahinge.core.routing.RoutingPolicy
import org.wisteriahinge.core.routing.RoutingState
import org.wisteriahinge.runtime.AppendRequest
import org.wisteriahinge.runtime.LifecycleDuty
import org.wisteriahinge.runtime.LogDuty
import org.wisteriahinge.runtime.Offer
import org.wisteriahinge.runtime.Ring

private val logger = KotlinLogging.logger {}

private const val LOG_RING_CAPACITY = 1_024

/** A hedge starts after this quantile of the times of short answers. */
private const val HEDGE_QUANTILE = 0.98

private val STOP_TIMEOUT: Duration = Duration.ofSeconds(1)

/** One running instance of the load balancer; connects its duties, rings and adapters. */
public class Instance(private val settings: InstanceSettings, private val clock: Clock) :
    PeerListener,
    Closeable {
    private val registry = PrometheusRegistry()
    private val log = HttpPlatformLog(settings.logUrl, settings.log.timeout)
    private val logRing = Ring<AppendRequest>("log", LOG_RING_CAPACITY)
    private val logDuty = LogDuty(logRing, log)
    private val pipeline = CallPipeline(
        pipelineSettings(),
        initialState(),
        registry,
        clock,
        ::perform,
        answers = { AnswerRetention(it, settings.once.maxAnswerBytes) }
    )
    private val network = settings.peers?.let { PeerNetwork(it, registry, this, clock) }
    private val configuration = ConfigurationService(
        settings.log.configurationTiming,
        log,
        logRing,
        registry,
        clock,
        network?.let { ConfigurationPeers(it.id, it.link) },
        ::applyConfiguration
    )
    private val once = OnceService(
        network?.id ?: InstanceId(UuidCreator.getTimeOrderedEpoch().toString()),
        settings.once,
        log,
        logRing,
        pipeline.ring,
        network?.link ?: DiscardingPeerLink,
        clock
    )
    private val limits = network?.let {
        LimitsService(it.id, settings.limits, log, logRing, pipeline.ring, clock)
    }
    private val lifecycle =
        LifecycleDuty(
            settings.process.drainTime,
            Duration.ZERO,
            clock,
            pipeline.gateway::callsInProgress,
            ::perform
        )
    private val admin = AdminServer(
        AdminAddress(settings.process.adminHost, settings.process.adminPort),
        InstanceView(settings.zone, lifecycle, pipeline, configuration),
        { pipeline.metricsRegistry },
        pipeline.loop,
        pipeline.clients,
        clock
    )
    private fun pipelineSettings() = CallPipelineSettings(
        CallerServerSettings(
            settings.callerHost,
            settings.callerPort,
            settings.calls.defaultTimeout,
            settings.calls.maxTimeout,
            settings.calls.body,
            settings.calls.bounds
        ),
        ConnectionLimits(settings.calls.maxConnectionsPerTarget),
        settings.credentialKey,
        LoadDocumentReader,
        clients = settings.calls.clients
    )

    private fun initialState() = CallsState(
        configuration = Configuration.Empty,
        routing = RoutingState(RoutingPolicy.LeastExpectedTime(), settings.zone, settings.seed),
        limits = CallLimits(settings.limits, initialScope()),
        retries = RetryState(RetrySettings(hedging = Hedging.AfterQuantile(HEDGE_QUANTILE)))
    )

    private fun initialScope(): LimitScope = when (settings.peers) {
        null -> LimitScope.WholePlan(since = clock.instant())
        else -> LimitScope.Leased(UsableShares(persistentHashMapOf(), slot = null))
    }

    private fun perform(effect: CallEffect) {
        when (effect) {
            is CallEffect.Claim -> once.requestClaim(effect.request)
            is CallEffect.EndClaim -> once.endClaim(effect.ended)
            is CallEffect.ReportDemand -> limits?.reportDemand(effect.demands)
            is CallEffect.ReportQuarantine ->
                network?.let { it.link.broadcast(PeerMessage.Quarantine(it.id, effect.notices)) }
            is CallEffect.PublishQuarantineSummary ->
                network?.report(MembershipEvent.QuarantineChanged(effect.notices))
            // Its targets name no limits, and its callers have an identity.
            is CallEffect.RequestRateLimitShare,
            is CallEffect.AskQuota,
            is CallEffect.ShareCrashes,
            is CallEffect.ClearCrashes -> Unit
            is CallEffect.PublishLoads -> network?.report(
                MembershipEvent.LoadsChanged(effect.loads)
            )
            is CallEffect.Count,
            is CallEffect.LogCall,
            is CallEffect.NotifyRateLimit,
            is CallEffect.NotifyQuota,
            is CallEffect.Probe,
            is CallEffect.CheckServer,
            is CallEffect.ForCall -> error("$effect must be handled by the call pipeline")
        }
    }

    private fun offerToCalls(event: CallEvent) {
        if (pipeline.offer(event) == Offer.Full) network?.countDroppedMessage()
    }

    private fun quarantineReported(from: InstanceId, notices: PersistentList<QuarantineNotice>) {
        if (notices.isEmpty()) return
        offerToCalls(CallEvent.QuarantineReported(from, notices))
    }

    private fun applyConfiguration(next: Configuration) {
        pipeline.offerBlocking(CallEvent.Configured(next))
        network?.report(MembershipEvent.RevisionChanged(next.revision))
    }

    private fun membersEvent(self: InstanceId, members: Members) =
        CallEvent.MembersChanged(self, members.live)

    override fun membersChanged(members: Members) {
        configuration.membersChanged(members)
        once.liveInstanceCountChanged(members.live.size)
        network?.let { pipeline.offerBlocking(membersEvent(it.id, members)) }
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

    private fun singleMemberEvent(): CallEvent {
        val self = InstanceId("alone")
        return CallEvent.MembersChanged(self, persistentSetOf(self))
    }

    private fun perform(action: LifecycleAction) {
        when (action) {
            LifecycleAction.RefuseNewCalls -> pipeline.gateway.drain()
            LifecycleAction.AnnounceServing ->
                network?.report(MembershipEvent.PhaseChanged(PeerPhase.Serving))
            LifecycleAction.AnnounceLeaving -> {
                logger.info { "draining; refusing new calls" }
                network?.report(MembershipEvent.PhaseChanged(PeerPhase.Draining))
            }
            LifecycleAction.CountCutOff ->
                logger.warn {
                    "drain time is over; cutting off ${pipeline.gateway.callsInProgress} calls"
                }
            LifecycleAction.ReleaseProcess -> Unit
        }
    }

    /**
     * Starts all duties and returns the ports in use.
     *
     * @throws java.net.BindException if an address is in use; the instance is then closed.
     */
    public fun start(): InstancePorts {
        lifecycle.start()
        pipeline.startDuties()
        logDuty.start()
        configuration.start()
        once.start()
        limits?.start()
        if (network == null) pipeline.offerBlocking(singleMemberEvent())
        try {
            network?.start()
            val ports = InstancePorts(admin = admin.start(), caller = pipeline.listen())
            lifecycle.post(LifecycleEvent.Started)
            return ports
        } catch (e: IOException) {
            close()
            throw e
        }
    }

    /** Refuses new calls and waits for those in progress, at most for the drain time. */
    public fun drain() {
        lifecycle.drain(settings.process.drainTime + STOP_TIMEOUT)
    }

    /** Waits until the instance stops; its own threads do not keep the process alive. */
    public fun awaitStopped() {
        lifecycle.awaitStopped()
    }

    override fun close() {
        admin.close()
        pipeline.close()
        limits?.close()
        once.close()
        network?.close()
        configuration.close()
        logDuty.stop(STOP_TIMEOUT)
        lifecycle.stop(STOP_TIMEOUT)
        log.close()
    }
}

/** The ports that an instance listens on. */
public data class InstancePorts(val caller: Int, val admin: Int)
