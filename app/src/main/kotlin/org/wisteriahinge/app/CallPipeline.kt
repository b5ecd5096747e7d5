package org.wisteriahinge.app

import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.Closeable
import java.time.Clock
import java.time.Duration
import org.wisteriahinge.adapters.backend.BackendClient
import org.wisteriahinge.adapters.backend.ConnectionLimits
import org.wisteriahinge.adapters.backend.IoLoop
import org.wisteriahinge.adapters.backend.LoadProber
import org.wisteriahinge.adapters.backend.ProbeReader
import org.wisteriahinge.adapters.backend.ServerChecker
import org.wisteriahinge.adapters.caller.AnswerListener
import org.wisteriahinge.adapters.caller.CallGateway
import org.wisteriahinge.adapters.caller.CallLog
import org.wisteriahinge.adapters.caller.CallSource
import org.wisteriahinge.adapters.caller.CallTraceLog
import org.wisteriahinge.adapters.caller.CallerServer
import org.wisteriahinge.adapters.caller.CallerServerDependencies
import org.wisteriahinge.adapters.caller.CallerServerSettings
import org.wisteriahinge.adapters.caller.CredentialHasher
import org.wisteriahinge.adapters.caller.ListeningSocket
import org.wisteriahinge.adapters.caller.ownershipOf
import org.wisteriahinge.adapters.clients.ClientRegistry
import org.wisteriahinge.adapters.metrics.CallMetrics
import org.wisteriahinge.adapters.metrics.InstanceMetrics
import org.wisteriahinge.adapters.metrics.QuotaRelayMonitor
import org.wisteriahinge.adapters.metrics.RateLimitMonitor
import org.wisteriahinge.core.call.CallEffect
import org.wisteriahinge.core.call.CallEvent
import org.wisteriahinge.core.call.CallsState
import org.wisteriahinge.core.clients.ClientLimits
import org.wisteriahinge.core.model.RequestLimits
import org.wisteriahinge.runtime.CallMessage
import org.wisteriahinge.runtime.CallTraceDuty
import org.wisteriahinge.runtime.CallTraceSink
import org.wisteriahinge.runtime.CallsDuty
import org.wisteriahinge.runtime.EffectSink
import org.wisteriahinge.runtime.Offer
import org.wisteriahinge.runtime.Ring
import org.wisteriahinge.runtime.offerBlocking

private const val CALLS_RING_CAPACITY = 8_192
private const val MAX_CALLS = 1_024
private val STOP_TIMEOUT: Duration = Duration.ofSeconds(1)

/** Connections to each other instance; one that does not accept soon is taken for gone. */
private val peerConnectionLimits =
    ConnectionLimits(perTarget = 64, connectTimeout = Duration.ofMillis(150))

/** Room in the head of a request for what the sender of a handed-over call decided on it. */
private const val HANDOVER_HEAD_BYTES = 4 * 1_024

private fun RequestLimits.forHandedOverCalls(): RequestLimits =
    copy(maxHeadBytes = maxHeadBytes + HANDOVER_HEAD_BYTES)

/**
 * The server for callers, the connections to targets and the probe format of a [CallPipeline].
 *
 * At [handover] it serves other instances; null if it serves none.
 */
internal class CallPipelineSettings(
    val server: CallerServerSettings,
    val connections: ConnectionLimits,
    val credentialKey: String,
    val probeReader: ProbeReader,
    val handover: HandoverEndpoint? = null,
    val clients: ClientLimits = ClientLimits()
)

/**
 * Runs the calls duty with the caller server that feeds it and the backend client that sends its
 * attempts.
 *
 * Effects for other duties, such as claims and demand reports, go to [otherEffects]. Lines on calls
 * go to the log, or to [traceSink] if there is one.
 */
internal class CallPipeline(
    settings: CallPipelineSettings,
    initial: CallsState,
    private val registry: PrometheusRegistry,
    clock: Clock,
    private val otherEffects: EffectSink<CallEffect>,
    answers: (CallGateway) -> AnswerListener? = { null },
    traceSink: CallTraceSink? = null,
    socket: ListeningSocket? = null
) : Closeable {
    private val metrics = CallMetrics()
    private val callLog = CallTraceLog()
    private val rateLimits = RateLimitMonitor(clock)
    private val quotaRelays = QuotaRelayMonitor(clock)
    val ring = Ring<CallMessage>(
        "calls",
        CALLS_RING_CAPACITY,
        reserved = MAX_CALLS * CallGateway.MESSAGES_PER_CALL
    )
    val gateway = CallGateway(ring, MAX_CALLS)
    private val callTraces = CallTraceDuty(clock, traceSink ?: callLog)
    private val duty = CallsDuty(ring, initial, ::perform, clock)
    private val instanceMetrics = InstanceMetrics(gateway::callsInProgress)
    private val backend = BackendClient(settings.connections)
    private val prober = LoadProber(
        backend,
        settings.probeReader,
        settings.server.dialect.ownershipOf(emptyList()),
        clock
    ) { offer(it) }
    private val checker = ServerChecker(
        backend,
        settings.server.dialect.targetId.orEmpty(),
        settings.server.dialect.ownershipOf(emptyList())
    ) { offer(it) }
    private val peers = BackendClient(peerConnectionLimits, backend.loop)
    private val hasher = CredentialHasher(settings.credentialKey.encodeToByteArray())
    private val answerListener = answers(gateway)

    /** The clients of all addresses of the instance. */
    val clients = ClientRegistry(settings.clients, clock, metrics::count)
    private val server = CallerServer(settings.server, dependencies(clock, socket))
    private val peerServer = settings.handover?.let { endpoint ->
        val peerSettings = settings.server.copy(
            host = endpoint.address.host,
            port = endpoint.address.port,
            bounds = settings.server.bounds.forHandedOverCalls(),
            source = CallSource.Instances(endpoint.token)
        )
        CallerServer(peerSettings, dependencies(clock, socket = null))
    }

    private fun dependencies(clock: Clock, socket: ListeningSocket?) = CallerServerDependencies(
        gateway = gateway,
        backend = backend,
        hasher = hasher,
        clock = clock,
        counters = metrics::count,
        observer = CallLog { it.added?.let(instanceMetrics::added) },
        answerListener = answerListener,
        socket = socket,
        peers = peers,
        clients = clients
    )

    /** The registry with all metrics; those of calls and of the JVM are added on first access. */
    val metricsRegistry: PrometheusRegistry by lazy {
        metrics.register(registry)
        callLog.register(registry)
        rateLimits.register(registry)
        quotaRelays.register(registry)
        instanceMetrics.register(registry)
        registry
    }

    /** The I/O thread of all connections; other adapters of the instance share it. */
    val loop: IoLoop get() = backend.loop

    /** Offers [event] without waiting; for events that the sender repeats if the ring is full. */
    fun offer(event: CallEvent): Offer = ring.offer(CallMessage(event))

    /** Adds [event] to the ring, waiting while it is full. */
    fun offerBlocking(event: CallEvent) {
        ring.offerBlocking(CallMessage(event))
    }

    fun applyBounds(bounds: RequestLimits) {
        server.limit(bounds)
        peerServer?.limit(bounds.forHandedOverCalls())
    }

    fun closeIdleConnections() {
        server.closeIdle()
        peerServer?.closeIdle()
    }

    /** Starts the duties; events are processed from then on. */
    fun startDuties() {
        callTraces.start()
        duty.start()
    }

    /**
     * Starts listening for callers and other instances, and returns the port for callers.
     *
     * @throws java.net.BindException if an address is in use.
     */
    fun listen(): Int {
        peerServer?.start()
        return server.start()
    }

    private fun perform(effect: CallEffect) {
        when (effect) {
            is CallEffect.Count -> metrics.count(effect.counter)
            is CallEffect.LogCall -> callTraces.submit(effect.trace)
            is CallEffect.NotifyRateLimit -> rateLimits.accept(effect.notice)
            is CallEffect.NotifyQuota -> quotaRelays.accept(effect.notice)
            is CallEffect.Probe -> prober.probe(effect.target, effect.path)
            is CallEffect.CheckServer -> checker.check(effect)
            is CallEffect.ForCall -> error("$effect must be handled by the front end of its call")
            is CallEffect.Claim,
            is CallEffect.EndClaim,
            is CallEffect.ReportDemand,
            is CallEffect.ReportQuarantine,
            is CallEffect.PublishQuarantineSummary,
            is CallEffect.ShareCrashes,
            is CallEffect.ClearCrashes,
            is CallEffect.RequestRateLimitShare,
            is CallEffect.AskQuota,
            is CallEffect.PublishLoads -> otherEffects.perform(effect)
        }
    }

    override fun close() {
        server.close()
        peerServer?.close()
        duty.stop(STOP_TIMEOUT)
        callTraces.stop(STOP_TIMEOUT)
        backend.close()
    }
}
