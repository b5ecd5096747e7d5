package org.wisteriahinge.adapters.caller

import com.github.michaelbull.result.getOrThrow
import java.io.Closeable
import java.time.Clock
import java.time.Duration
import java.util.concurrent.ConcurrentLinkedQueue
import org.wisteriahinge.adapters.backend.BackendClient
import org.wisteriahinge.adapters.backend.ConnectionLimits
import org.wisteriahinge.adapters.clients.ClientRegistry
import org.wisteriahinge.adapters.lists.readLists
import org.wisteriahinge.core.call.CallCounter
import org.wisteriahinge.core.call.CallEffect
import org.wisteriahinge.core.call.CallEvent
import org.wisteriahinge.core.call.CallsState
import org.wisteriahinge.core.clients.ClientLimits
import org.wisteriahinge.core.configuration.ListTexts
import org.wisteriahinge.core.model.Configuration
import org.wisteriahinge.core.model.RevisionNumber
import org.wisteriahinge.core.model.Zone
import org.wisteriahinge.core.routing.RoutingPolicy
import org.wisteriahinge.core.routing.RoutingState
import org.wisteriahinge.runtime.CallMessage
import org.wisteriahinge.runtime.CallsDuty
import org.wisteriahinge.runtime.Ring

const val SECRET = "not-to-be-seen"
const val AUTHORIZATION = "Authorization: Bearer delta-1.$SECRET\r\n"

/** A caller server with its `calls` duty in front of [targets]. */
class CallerFixture(
    private val targets: List<RawTarget>,
    limits: ConnectionLimits = ConnectionLimits(perTarget = 13),
    ring: Ring<CallMessage> = Ring("calls", 1_024, reserved = 600),
    maxCalls: Int = 100,
    startDuty: Boolean = true,
    listener: AnswerListener? = null,
    private val configured: (Configuration) -> Configuration = { it },
    clients: ClientLimits = ClientLimits(),
    configure: (CallerServerSettings) -> CallerServerSettings = { it }
) : Closeable {
    private val hasher = CredentialHasher("key".encodeToByteArray())
    val counted = ConcurrentLinkedQueue<CallCounter>()
    val ended = ConcurrentLinkedQueue<EndedCall>()
    val duty = CallsDuty(ring, state(), ::perform, Clock.systemUTC())
    private val backend = BackendClient(limits)
    private val server = CallerServer(
        configure(
            CallerServerSettings("127.0.0.1", 0, Duration.ofSeconds(10), Duration.ofMinutes(1))
        ),
        CallerServerDependencies(
            CallGateway(ring, maxCalls),
            backend,
            hasher,
            Clock.systemUTC(),
            { counted.add(it) },
            { ended.add(it) },
            listener,
            clients = ClientRegistry(clients, Clock.systemUTC()) { counted.add(it) }
        )
    )
    val port: Int

    init {
        ring.offerReserved(CallMessage(CallEvent.Configured(configuration())))
        if (startDuty) duty.start()
        port = server.start()
    }

    private fun state() = CallsState(
        Configuration.Empty,
        RoutingState(RoutingPolicy.RoundRobin, Zone("zone-a"), seed = 1)
    )

    private fun perform(effect: CallEffect) {
        if (effect is CallEffect.Count) counted.add(effect.counter)
    }

    fun caller() = RawCaller(port)

    /** Closes idle connections, as at the end of a graceful stop. */
    fun closeIdle() = server.closeIdle()

    /** Sends one request on a connection of its own and returns the answer. */
    fun exchange(text: String): RawMessage? = caller().use { it.send(text).receive() }

    private fun configuration(): Configuration =
        readLists(ListTexts(customers(), entitlements()), RevisionNumber(1))
            .getOrThrow { IllegalStateException(it.toString()) }
            .let(configured)

    private fun customers() = """
        format: 1
        customers:
          - name: delta-utility
            plan: standard
            credentials:
              - id: delta-1
                keyed_hash: ${hasher.hash(SECRET)}
    """.trimIndent()

    private fun entitlements(): String {
        val lines = targets.mapIndexed { index, target ->
            val address = "127.0.0.1:${target.port}"
            "      - { name: t-$index, zone: zone-a, address: '$address', slots: 3 }"
        }.joinToString("\n")
        return """
            |format: 1
            |services:
            |  - name: lookup
            |    targets:
            |$lines
            |    operations:
            |      - { name: get, method: GET, path: '/results/{id}', repeatable: true, duration: short }
            |      - { name: head, method: HEAD, path: '/results/{id}', repeatable: true,
            |          duration: short }
            |      - { name: put, method: PUT, path: '/files/{id}', repeatable: true, duration: long }
            |      - { name: book, method: POST, path: /bookings, repeatable: false, duration: short }
            |plans:
            |  - name: standard
            |    calls_per_second: 100000
            |    burst_calls: 100000
            |    concurrent_calls: 1000
            |    bytes_per_second: 1000000000
            |    burst_bytes: 1000000000
            |    operations: [lookup/get, lookup/head, lookup/put, lookup/book]
        """.trimMargin()
    }

    override fun close() {
        server.close()
        backend.close()
        duty.stop(Duration.ofSeconds(1))
        targets.forEach { it.close() }
    }
}

fun get(path: String = "/results/1", headers: String = AUTHORIZATION) =
    "GET $path HTTP/1.1\r\nHost: lb\r\n$headers\r\n"
