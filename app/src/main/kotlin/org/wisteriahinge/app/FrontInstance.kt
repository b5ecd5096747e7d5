package org.wisteriahinge.app

import io.github.oshai.kotlinlogging.KotlinLogging
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.Closeable
import java.io.IOException
import java.time.Clock
import java.time.Duration
import org.wisteriahinge.adapters.admin.AdminAddress
import org.wisteriahinge.adapters.admin.AdminServer
import org.wisteriahinge.adapters.backend.BackendClient
import org.wisteriahinge.adapters.backend.ConnectionLimits
import org.wisteriahinge.adapters.caller.ListeningSocket
import org.wisteriahinge.core.call.CallEffect
import org.wisteriahinge.core.lifecycle.LifecycleAction
import org.wisteriahinge.core.lifecycle.LifecycleEvent
import org.wisteriahinge.core.model.Address
import org.wisteriahinge.platform.READY_PATH
import org.wisteriahinge.platform.warmUpAnswer
import org.wisteriahinge.platform.warmUpHeaders
import org.wisteriahinge.runtime.LifecycleDuty

private val logger = KotlinLogging.logger {}

/** Part of the grace period in which new calls are still served. */
private const val HANDOVER_SHARE = 0.45

/** Part of the grace period for calls in progress; a small machine needs the rest to end. */
private const val WORK_SHARE = 0.85

/** Connections to the store and to each relay; one that is not accepted in time is tried anew. */
private val storeConnections =
    ConnectionLimits(perTarget = 4, connectTimeout = Duration.ofMillis(400))
private val STOP_TIMEOUT: Duration = Duration.ofSeconds(1)

/**
 * One running instance on the users' platform: it serves open routes that it follows in the
 * platform's store, and depends on no other instance. Callers' connections come to [socket].
 */
public class FrontInstance(
    private val settings: FrontSettings,
    private val clock: Clock,
    socket: ListeningSocket
) : Closeable {
    private val registry = PrometheusRegistry()
    private val path = CallPath(
        settings.pathSettings(settings.callers),
        settings.initialState(),
        registry,
        clock,
        ::perform,
        socket = socket
    )
    private val storeClient =
        BackendClient(storeConnections, path.loop)
    private val sources = sources()
    private val lifecycle = LifecycleDuty(
        settings.grace.share(WORK_SHARE),
        settings.grace.share(HANDOVER_SHARE),
        clock,
        path.gateway::callsInProgress,
        ::perform
    )
    private val view = FrontView(settings, lifecycle, path)
    private val topics = FrontTopics(sources, settings.seed, clock, path, view)
    private val admin = AdminServer(
        AdminAddress(settings.ready.host, settings.ready.port, READY_PATH),
        view,
        { path.metricsRegistry },
        path.loop
    )

    private fun sources(): PlatformSources {
        val own = settings.platform.relay?.takeIf { it in settings.platform.relays }
        return if (own == null) {
            PlatformSources.Following(settings, storeClient, clock)
        } else {
            PlatformSources.Relaying(own, settings, storeClient, path.loop, clock)
        }
    }

    /** Exercises the path of calls on loopback; see [WarmUp]. */
    internal fun warmUp(calls: Int, limit: Duration) {
        val dialect = WarmUpDialect(::warmUpHeaders) { head, target ->
            warmUpAnswer(head, target.value)
        }
        val loopback = settings.pathSettings(Address("127.0.0.1", 0))
        WarmUp(loopback, settings.initialState(), dialect, clock).run(calls, limit)
    }

    private fun perform(effect: CallEffect) {
        when (effect) {
            // Callers of open routes have no plan, no keys and no identity.
            is CallEffect.Claim,
            is CallEffect.EndClaim,
            is CallEffect.ReportDemand,
            is CallEffect.ReportQuarantine,
            is CallEffect.PublishQuarantineSummary,
            is CallEffect.PublishLoads -> Unit
            is CallEffect.Count,
            is CallEffect.LogCall,
            is CallEffect.Probe,
            is CallEffect.ForCall -> error("$effect is performed by the path of calls")
        }
    }

    private fun perform(action: LifecycleAction) {
        when (action) {
            LifecycleAction.AnnounceServing -> Unit
            LifecycleAction.AnnounceLeaving -> {
                logger.info { "leaving; callers are to use other connections" }
                path.gateway.announceLeaving()
            }
            LifecycleAction.RefuseNewCalls -> {
                logger.info { "draining; new calls are refused" }
                path.gateway.drain()
                path.closeIdleConnections()
            }
            LifecycleAction.CountCutOff ->
                logger.warn { "${path.gateway.callsInProgress} calls outlast the drain time" }
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
        path.startDuties()
        topics.start()
        try {
            path.listen()
            admin.start()
            sources.start()
            lifecycle.post(LifecycleEvent.Started)
        } catch (e: IOException) {
            close()
            throw e
        }
    }

    /** Lets callers be sent elsewhere, then waits for the calls in progress. */
    public fun drain() {
        lifecycle.drain(settings.grace.share(WORK_SHARE))
    }

    /** Waits for a stop; the instance's own threads do not keep the process alive. */
    public fun awaitStopped() {
        lifecycle.awaitStopped()
    }

    override fun close() {
        topics.close()
        admin.close()
        sources.close()
        path.close()
        lifecycle.stop(STOP_TIMEOUT)
    }
}

private fun Duration.share(part: Double): Duration = Duration.ofMillis((toMillis() * part).toLong())
