package org.wisteriahinge.app

import io.github.oshai.kotlinlogging.KotlinLogging
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.IOException
import java.time.Clock
import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import org.wisteriahinge.adapters.backend.BackendClient
import org.wisteriahinge.adapters.backend.BackendRequest
import org.wisteriahinge.adapters.backend.ConnectionLimits
import org.wisteriahinge.adapters.backend.HeaderField
import org.wisteriahinge.adapters.backend.RequestBody
import org.wisteriahinge.core.call.CallEvent
import org.wisteriahinge.core.call.CallsState
import org.wisteriahinge.core.model.Address
import org.wisteriahinge.core.model.Backend
import org.wisteriahinge.core.model.CallBounds
import org.wisteriahinge.core.model.Configuration
import org.wisteriahinge.core.model.Customers
import org.wisteriahinge.core.model.Entitlements
import org.wisteriahinge.core.model.ListedTargets
import org.wisteriahinge.core.model.OperationId
import org.wisteriahinge.core.model.Repeatability
import org.wisteriahinge.core.model.RevisionNumber
import org.wisteriahinge.core.model.Route
import org.wisteriahinge.core.model.RouteTable
import org.wisteriahinge.core.model.Service
import org.wisteriahinge.core.model.ServiceId
import org.wisteriahinge.core.model.Target
import org.wisteriahinge.core.model.TargetId
import org.wisteriahinge.core.model.Zone
import org.wisteriahinge.runtime.CallTraceSink

private val logger = KotlinLogging.logger {}

private const val HOST = "warm-up.invalid"
private const val PATH = "/warm-up/"
private const val BODY_BYTES = 4_096
private val CALL_TIMEOUT: Duration = Duration.ofSeconds(2)

/** Request headers and answers of the warm-up, in the dialect of the pipeline. */
internal class WarmUpDialect(
    val headers: (number: Int) -> List<HeaderField>,
    val responseFor: (head: List<String>, target: TargetId) -> String
)

/**
 * Sends calls through a separate pipeline to targets within the process.
 *
 * This loads the classes that calls need, so that the class archive recorded by the build contains
 * them. Instances make no such calls at start: they would take as long as they save first callers.
 */
internal class WarmUp(
    private val settings: CallPipelineSettings,
    private val initial: CallsState,
    private val dialect: WarmUpDialect,
    private val clock: Clock
) {
    /** Sends up to [calls] calls within [limit]. A failure ends the warm-up and is logged. */
    fun run(calls: Int, limit: Duration) {
        val until = clock.instant() + limit
        val targets = listOf("warm-up-1", "warm-up-2").map { name ->
            val id = TargetId(name)
            id to LoopbackTarget { head -> dialect.responseFor(head, id) }
        }
        val pipeline = CallPipeline(
            settings,
            initial,
            PrometheusRegistry(),
            clock,
            { },
            traceSink = CallTraceSink.None
        )
        val client = BackendClient(ConnectionLimits(perTarget = 2))
        try {
            targets.forEach { (_, target) -> target.start() }
            pipeline.startDuties()
            pipeline.offerBlocking(CallEvent.Configured(configuration()))
            pipeline.offerBlocking(
                CallEvent.TargetsListed(
                    listing(
                        targets.map {
                            it.first to
                                it.second.address
                        }
                    )
                )
            )
            val completed = send(client, Address("127.0.0.1", pipeline.listen()), calls, until)
            logger.info { "warm-up made $completed calls" }
        } catch (e: IOException) {
            logger.warn { "warm-up stopped early: ${e.message}" }
        } finally {
            client.close()
            pipeline.close()
            targets.forEach { (_, target) -> target.close() }
        }
    }

    private fun send(client: BackendClient, address: Address, calls: Int, until: Instant): Int {
        var completed = 0
        while (completed < calls && clock.instant() < until) {
            client.fetch(address, request(completed))
            completed++
        }
        return completed
    }

    private fun request(number: Int): BackendRequest {
        val writes = number % 2 == 1
        return BackendRequest(
            method = if (writes) "POST" else "GET",
            pathAndQuery = PATH + if (writes) "write/$number" else "read/$number",
            headers = persistentListOf<HeaderField>().addAll(dialect.headers(number)),
            body = if (writes) RequestBody.Buffered(ByteArray(BODY_BYTES)) else RequestBody.None,
            remaining = CALL_TIMEOUT,
            host = HOST
        )
    }

    private fun configuration() = Configuration(
        RevisionNumber(1),
        Customers(persistentHashMapOf()),
        Entitlements(
            persistentHashMapOf(
                SERVICE to Service(SERVICE, persistentListOf(), persistentListOf())
            ),
            persistentHashMapOf(),
            RouteTable.of(
                listOf(
                    route("write", Repeatability.OncePerRequest),
                    route("read", Repeatability.Repeatable)
                )
            )
        )
    )

    private fun route(name: String, repeatability: Repeatability) = Route(
        id = OperationId(name),
        host = HOST,
        pathPrefix = "$PATH$name/",
        backends = persistentListOf(Backend(SERVICE, 1)),
        repeatability = repeatability,
        bounds = CallBounds(maxTargets = 2, timeout = CALL_TIMEOUT)
    )

    private fun listing(targets: List<Pair<TargetId, Address>>): ListedTargets {
        val listed = targets.map { (id, address) ->
            Target(id, Zone("warm-up"), address, slots = 3)
        }
        return ListedTargets(
            persistentHashMapOf(SERVICE to persistentListOf<Target>().addAll(listed))
        )
    }

    private companion object {
        val SERVICE = ServiceId("warm-up")
    }
}
