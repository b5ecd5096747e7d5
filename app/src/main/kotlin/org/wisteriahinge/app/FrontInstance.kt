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
import org.wisteriahinge.adapters.caller.BodyLimits
import org.wisteriahinge.adapters.caller.CallerServerSettings
import org.wisteriahinge.core.call.CallEffect
import org.wisteriahinge.core.call.CallEvent
import org.wisteriahinge.core.call.CallsState
import org.wisteriahinge.core.directory.DirectoryRecord
import org.wisteriahinge.core.directory.DirectoryState
import org.wisteriahinge.core.lifecycle.LifecycleAction
import org.wisteriahinge.core.lifecycle.LifecycleEvent
import org.wisteriahinge.core.model.Address
import org.wisteriahinge.core.model.Configuration
import org.wisteriahinge.core.model.ListedTargets
import org.wisteriahinge.core.retry.Hedging
import org.wisteriahinge.core.retry.RetryLimit
import org.wisteriahinge.core.retry.RetrySettings
import org.wisteriahinge.core.retry.RetryState
import org.wisteriahinge.core.routing.RoutingPolicy
import org.wisteriahinge.core.routing.RoutingState
import org.wisteriahinge.core.survey.SurveyPolicy
import org.wisteriahinge.core.survey.SurveysState
import org.wisteriahinge.core.watch.WatchNews
import org.wisteriahinge.core.watch.WatchPace
import org.wisteriahinge.platform.DecodeFault
import org.wisteriahinge.platform.HealthReader
import org.wisteriahinge.platform.PlatformTopics
import org.wisteriahinge.platform.READY_PATH
import org.wisteriahinge.platform.decodeConfiguration
import org.wisteriahinge.platform.decodeTarget
import org.wisteriahinge.platform.platformDialect
import org.wisteriahinge.platform.rehearsalAnswer
import org.wisteriahinge.platform.rehearsalHeaders
import org.wisteriahinge.runtime.KeyedRecord
import org.wisteriahinge.runtime.LifecycleDuty
import org.wisteriahinge.runtime.TopicWatchDuty

private val logger = KotlinLogging.logger {}

/** Bodies up to this size are kept, so that they can be sent to another target. */
private const val BUFFERED_BODY_BYTES = 1_048_576

/** Part of the allowed repeats that an instance uses; the rest covers slices of the window. */
private const val RETRY_SHARE = 0.85

/** Repeats of a service that an instance may make without having had requests for it. */
private const val RETRY_EXTRA = 1.0

/** Part of the repeats that hedges may use. */
private const val HEDGE_SHARE = 0.7

/** Share of answers that arrive before a hedge starts. */
private const val HEDGE_QUANTILE = 0.9

/** Before the end of the grace period by which the process must have ended by itself. */
private val GRACE_MARGIN: Duration = Duration.ofMillis(400)

/** Calls of the warm-up; more of them no longer shorten the first calls of callers. */
private const val WARM_UP_CALLS = 120

/** An instance that starts under load is more useful slow than absent. */
private val WARM_UP_LIMIT: Duration = Duration.ofMillis(900)

/** Part of the grace period in which new calls are still served. */
private const val HANDOVER_SHARE = 0.45

/** A connection that was not accepted by then is tried at another target. */
private val CONNECT_TIMEOUT: Duration = Duration.ofMillis(400)

private const val CONNECTIONS_PER_TARGET = 14
private val STOP_TIMEOUT: Duration = Duration.ofSeconds(1)

/** Each target writes its entry every second and a half; a drain must be known within two. */
private val TARGETS_PACE = WatchPace(minPeriod = Duration.ofMillis(900), waitUpTo = Duration.ZERO)

/** Changes of the configuration are rare, so that a read waits for the next one. */
private val CONFIGURATION_PACE =
    WatchPace(minPeriod = Duration.ofMillis(50), waitUpTo = Duration.ofSeconds(25))

/**
 * One running instance on the users' platform: it serves open routes that it follows in the
 * platform's store, and shares nothing with other instances.
 */
public class FrontInstance(private val settings: FrontSettings, private val clock: Clock) :
    Closeable {
    private val registry = PrometheusRegistry()
    private val path =
        CallPath(pathSettings(settings.callers), initialState(), registry, clock, ::perform)
    private val storeClient = BackendClient(ConnectionLimits(perTarget = 4), path.loop)
    private val sources = sources()
    private val configurationWatch = TopicWatchDuty(
        "configuration",
        sources.configuration,
        CONFIGURATION_PACE,
        settings.seed,
        clock,
        ::decodeOperatorRecord,
        ::configurationNews
    )
    private val targetsWatch = TopicWatchDuty(
        "targets",
        sources.targets,
        TARGETS_PACE,
        settings.seed + 1,
        clock,
        ::decodeTarget,
        ::targetNews
    )
    private var directory = DirectoryState()
    private var told: ListedTargets? = null
    private val lifecycle = LifecycleDuty(
        settings.grace - GRACE_MARGIN,
        handover(),
        clock,
        path.gateway::callsInProgress,
        ::perform
    )
    private val view = FrontView(settings, lifecycle, path)
    private val admin = AdminServer(
        AdminAddress(settings.ready.host, settings.ready.port, READY_PATH),
        view,
        { path.metricsRegistry },
        path.loop
    )

    private fun sources(): PlatformSources {
        val own = settings.relay?.takeIf { it in settings.relays }
        return if (own == null) {
            PlatformSources.Following(settings, storeClient, clock)
        } else {
            PlatformSources.Relaying(own, storeClient, settings.store, path.loop)
        }
    }

    private fun handover(): Duration =
        Duration.ofMillis((settings.grace.toMillis() * HANDOVER_SHARE).toLong())

    private fun pathSettings(callers: Address) = CallPathSettings(
        CallerServerSettings(
            host = callers.host,
            port = callers.port,
            defaultTimeout = settings.defaultTimeout,
            maxTimeout = settings.maxTimeout,
            body = BodyLimits(BUFFERED_BODY_BYTES, settings.bodyMemoryBytes),
            dialect = platformDialect
        ),
        ConnectionLimits(CONNECTIONS_PER_TARGET, connectTimeout = CONNECT_TIMEOUT),
        // Open routes have no credentials to compare.
        credentialKey = settings.name,
        probeReader = HealthReader
    )

    private fun initialState() = CallsState(
        configuration = Configuration.Empty,
        routing = RoutingState(
            RoutingPolicy.Wisteriahinge(
                zonePenaltyMillis = 8.0,
                zonePenaltyMillisPerKib = 0.8
            ),
            settings.zone,
            settings.seed
        ),
        retries = RetryState(
            RetrySettings(
                maxAttempts = 2,
                hedging = Hedging.AfterQuantile(HEDGE_QUANTILE),
                limit = RetryLimit.Window(
                    settings.retryWindow,
                    settings.retryRatio * RETRY_SHARE,
                    RETRY_EXTRA,
                    HEDGE_SHARE
                )
            )
        ),
        surveys = SurveysState(SurveyPolicy.BeforeEach())
    )

    /** Exercises the path of calls on loopback; see [WarmUp]. */
    internal fun warmUp(calls: Int, limit: Duration) {
        val loopback = Address("127.0.0.1", 0)
        val dialect = WarmUpDialect(::rehearsalHeaders) { head, target ->
            rehearsalAnswer(head, target.value)
        }
        WarmUp(pathSettings(loopback), initialState(), dialect, clock).run(calls, limit)
    }

    private fun decodeOperatorRecord(record: KeyedRecord): Configuration? {
        val value = record.value
        if (record.key != PlatformTopics.CONFIGURATION_KEY || value == null) return null
        return try {
            decodeConfiguration(value)
        } catch (e: DecodeFault) {
            logger.error { "configuration at offset ${record.offset} is not used: ${e.message}" }
            null
        }
    }

    private fun configurationNews(news: WatchNews<Configuration>) {
        when (news) {
            is WatchNews.Newest -> news.records.forEach(::configured)
            is WatchNews.Changes -> news.records.forEach(::configured)
            WatchNews.Lost -> logger.warn { "lost the operator's topic; the configuration stays" }
            WatchNews.Regained -> logger.info { "reads the operator's topic" }
        }
    }

    private fun configured(next: Configuration) {
        path.offerWaiting(CallEvent.Configured(next))
        next.callerBounds?.let(path::limit)
        view.configured(next.revision)
        logger.info { "configuration ${next.revision} is in force" }
    }

    private fun targetNews(news: WatchNews<DirectoryRecord>) {
        when (news) {
            is WatchNews.Newest, is WatchNews.Changes -> Unit
            WatchNews.Lost -> {
                logger.warn { "lost the targets' topic; the list of targets stays" }
                // Both topics are read over connections that may have died together.
                configurationWatch.readAgain()
            }
            WatchNews.Regained -> logger.info { "reads the targets' topic" }
        }
        directory = directory.decide(news, clock.instant())
        val listing = directory.listing()
        if (listing == told) return
        told = listing
        path.offerWaiting(CallEvent.TargetsListed(listing))
        view.listed(listing)
        logger.info { "targets: ${listing.byService.mapValues { it.value.size }}" }
    }

    private fun perform(effect: CallEffect) {
        when (effect) {
            // Callers of open routes have no plan, no keys and no identity.
            is CallEffect.Claim,
            is CallEffect.EndClaim,
            is CallEffect.ReportDemand,
            is CallEffect.ReportQuarantine,
            is CallEffect.SummarizeQuarantine,
            is CallEffect.TellLoads -> Unit
            is CallEffect.Count,
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
        path.startDuty()
        configurationWatch.start()
        targetsWatch.start()
        try {
            path.listen()
            admin.start()
            sources.start()
            warmUp(WARM_UP_CALLS, WARM_UP_LIMIT)
            lifecycle.announce(LifecycleEvent.Started)
        } catch (e: IOException) {
            close()
            throw e
        }
    }

    /** Lets callers be sent elsewhere, then waits for the calls in progress. */
    public fun drain() {
        lifecycle.drain(settings.grace)
    }

    /** Waits for a stop; the instance's own threads do not keep the process alive. */
    public fun awaitStopped() {
        lifecycle.awaitStopped()
    }

    override fun close() {
        configurationWatch.stop(STOP_TIMEOUT)
        targetsWatch.stop(STOP_TIMEOUT)
        admin.close()
        sources.close()
        path.close()
        lifecycle.stop(STOP_TIMEOUT)
    }
}
