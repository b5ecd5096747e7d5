package org.wisteriahinge.app

import io.github.oshai.kotlinlogging.KotlinLogging
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.Closeable
import java.io.IOException
import java.time.Clock
import java.time.Duration
import kotlinx.collections.immutable.toPersistentMap
import org.wisteriahinge.adapters.admin.AdminAddress
import org.wisteriahinge.adapters.admin.AdminServer
import org.wisteriahinge.adapters.backend.BackendClient
import org.wisteriahinge.adapters.backend.ConnectionLimits
import org.wisteriahinge.adapters.caller.ListeningSocket
import org.wisteriahinge.adapters.metrics.TopicMetrics
import org.wisteriahinge.adapters.metrics.registerEvacuatedZones
import org.wisteriahinge.core.call.CallEffect
import org.wisteriahinge.core.call.CallEvent
import org.wisteriahinge.core.group.GroupEvent
import org.wisteriahinge.core.lifecycle.LifecycleAction
import org.wisteriahinge.core.lifecycle.LifecycleEvent
import org.wisteriahinge.core.model.Address
import org.wisteriahinge.platform.READY_PATH
import org.wisteriahinge.platform.StoreGroup
import org.wisteriahinge.platform.warmUpAnswer
import org.wisteriahinge.platform.warmUpHeaders
import org.wisteriahinge.runtime.GroupDuty
import org.wisteriahinge.runtime.LifecycleDuty

private val logger = KotlinLogging.logger {}

/** Share of the grace period during which new calls are still served. */
private const val HANDOVER_SHARE = 0.45

/** Share of the grace period for calls in progress; small machines need the rest to exit. */
private const val DRAIN_SHARE = 0.85

/** Limits for the store and for each relay; a connection attempt that times out is repeated. */
private val storeConnectionLimits =
    ConnectionLimits(perTarget = 6, connectTimeout = Duration.ofMillis(400))
private val STOP_TIMEOUT: Duration = Duration.ofSeconds(1)

/**
 * One running instance on the users' platform, which needs no other instance to serve calls.
 *
 * It serves open routes, which need no credentials, and reads them from the platform's store.
 * Callers connect to [socket].
 */
public class FrontInstance(
    private val settings: FrontSettings,
    private val clock: Clock,
    socket: ListeningSocket
) : Closeable {
    private val registry = PrometheusRegistry()
    private val endpoint = settings.handover?.let { HandoverEndpoint(it, newHandoverToken()) }
    private val pipeline = CallPipeline(
        settings.pipelineSettings(settings.callers, endpoint),
        settings.initialState(),
        registry,
        clock,
        ::perform,
        socket = socket
    )
    private val storeClient =
        BackendClient(storeConnectionLimits, pipeline.loop)
    private val sources = sources()
    private val rateLimitGroup = rateLimitGroup()
    private val crashCounts = CrashCounts(settings, storeClient, sources.crashes, clock, pipeline)
    private val instances = endpoint?.let {
        InstanceDirectory(settings, it, storeClient, sources.instances, clock, pipeline)
    }
    private val lifecycle = LifecycleDuty(
        settings.gracePeriod.share(DRAIN_SHARE),
        settings.gracePeriod.share(HANDOVER_SHARE),
        clock,
        pipeline.gateway::callsInProgress,
        ::perform
    )
    private val view = FrontView(settings, lifecycle, pipeline)
    private val topics = FrontTopics(
        sources,
        settings.seed,
        clock,
        hasRevocationBound = settings.bounds.revocation != null,
        pipeline,
        view
    )
    private val admin = AdminServer(
        AdminAddress(settings.ready.host, settings.ready.port, READY_PATH),
        view,
        { metricsRegistry },
        pipeline.loop
    )
    private val metricsRegistry: PrometheusRegistry by lazy {
        pipeline.metricsRegistry.also {
            topicMetrics().register(it)
            registerEvacuatedZones(it) { topics.evacuatedZones }
        }
    }

    private fun topicMetrics(): TopicMetrics {
        val watches = topics.watches + listOfNotNull(crashCounts.watch, instances?.watch)
        return TopicMetrics(
            watches.associate { it.topicName to it::currentAsOf }.toPersistentMap(),
            clock
        )
    }

    private fun rateLimitGroup(): GroupDuty {
        val platform = settings.platform
        val group = StoreGroup(
            settings.name,
            platform.partitionsPerTopic,
            platform.store,
            storeClient
        )
        return GroupDuty(group.partitionCount, group, clock) {
            pipeline.offerBlocking(CallEvent.RateLimitShareChanged(it))
        }
    }

    private fun sources(): PlatformSources {
        val own = settings.platform.ownRelay?.takeIf { it in settings.platform.relays }
        return if (own == null) {
            PlatformSources.Following(settings, storeClient, clock)
        } else {
            PlatformSources.Relaying(own, settings, storeClient, pipeline.loop, clock)
        }
    }

    /** Sends calls through a separate pipeline on loopback; see [WarmUp]. */
    internal fun warmUp(calls: Int, limit: Duration) {
        val dialect = WarmUpDialect(::warmUpHeaders) { head, target ->
            warmUpAnswer(head, target.value)
        }
        val loopback = settings.pipelineSettings(Address("127.0.0.1", 0))
        WarmUp(loopback, settings.initialState(), dialect, clock).run(calls, limit)
    }

    private fun perform(effect: CallEffect) {
        when (effect) {
            is CallEffect.RequestRateLimitShare ->
                rateLimitGroup.post(GroupEvent.NeedChanged(effect.isNeeded))
            is CallEffect.ShareCrashes -> crashCounts.share(effect)
            is CallEffect.ClearCrashes -> crashCounts.clear(effect)
            // Callers of open routes have no plan, no idempotency keys and no identity.
            is CallEffect.Claim,
            is CallEffect.EndClaim,
            is CallEffect.ReportDemand,
            is CallEffect.ReportQuarantine,
            is CallEffect.PublishQuarantineSummary,
            is CallEffect.PublishLoads -> Unit
            is CallEffect.Count,
            is CallEffect.LogCall,
            is CallEffect.NotifyRateLimit,
            is CallEffect.Probe,
            is CallEffect.CheckServer,
            is CallEffect.ForCall -> error("$effect must be handled by the call pipeline")
        }
    }

    private fun perform(action: LifecycleAction) {
        when (action) {
            LifecycleAction.AnnounceServing -> Unit
            LifecycleAction.AnnounceLeaving -> {
                logger.info { "leaving; asking callers to close their connections" }
                pipeline.gateway.announceLeaving()
                instances?.leave()
            }
            LifecycleAction.RefuseNewCalls -> {
                logger.info { "draining; refusing new calls" }
                pipeline.gateway.drain()
                pipeline.closeIdleConnections()
                rateLimitGroup.post(GroupEvent.Stopping)
            }
            LifecycleAction.CountCutOff ->
                logger.warn {
                    "drain time is over; cutting off ${pipeline.gateway.callsInProgress} calls"
                }
            LifecycleAction.ReleaseProcess -> Unit
        }
    }

    /**
     * Starts all duties and listens.
     *
     * @throws java.net.BindException if an address is in use; the instance is then closed.
     */
    public fun start() {
        lifecycle.start()
        pipeline.startDuties()
        topics.start()
        rateLimitGroup.start()
        crashCounts.start()
        try {
            pipeline.listen()
            admin.start()
            sources.start()
            instances?.start()
            lifecycle.post(LifecycleEvent.Started)
        } catch (e: IOException) {
            close()
            throw e
        }
    }

    /** Announces the stop so that callers go elsewhere, then waits for the calls in progress. */
    public fun drain() {
        lifecycle.drain(settings.gracePeriod.share(DRAIN_SHARE))
    }

    /** Waits until the instance stops; its own threads do not keep the process alive. */
    public fun awaitStopped() {
        lifecycle.awaitStopped()
    }

    override fun close() {
        topics.close()
        crashCounts.close()
        instances?.close()
        rateLimitGroup.stop(STOP_TIMEOUT)
        admin.close()
        sources.close()
        pipeline.close()
        lifecycle.stop(STOP_TIMEOUT)
    }
}

private fun Duration.share(part: Double): Duration = Duration.ofMillis((toMillis() * part).toLong())
