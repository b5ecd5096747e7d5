package org.wisteriahinge.adapters.quota

import java.net.ServerSocket
import java.time.Clock
import java.time.Duration
import java.time.Instant
import java.time.ZoneId
import java.time.ZoneOffset
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.TimeUnit
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.wisteriahinge.adapters.backend.BackendClient
import org.wisteriahinge.adapters.backend.ConnectionLimits
import org.wisteriahinge.adapters.clients.ClientRegistry
import org.wisteriahinge.adapters.relay.RelayServer
import org.wisteriahinge.core.call.CallEvent
import org.wisteriahinge.core.clients.ClientLimits
import org.wisteriahinge.core.model.Address
import org.wisteriahinge.core.model.CustomerId
import org.wisteriahinge.core.model.RequestQuota
import org.wisteriahinge.core.quota.QuotaGrant
import org.wisteriahinge.core.quota.QuotaQuestion
import org.wisteriahinge.core.quota.QuotaWant
import org.wisteriahinge.core.quota.RelayFailure
import strikt.api.expectThat
import strikt.assertions.isEqualTo

private val askedAt: Instant = Instant.parse("2026-01-01T00:00:00Z")

private class StoppedClock(var now: Instant) : Clock() {
    override fun instant(): Instant = now

    override fun getZone() = ZoneOffset.UTC

    override fun withZone(zone: ZoneId) = this
}

/** Guards against questions that relays of this or an older version misread or never answer. */
class QuotaExchangeTest {
    private val clock = StoppedClock(askedAt)
    private val client =
        BackendClient(ConnectionLimits(perTarget = 2, connectTimeout = Duration.ofMillis(400)))
    private val events = ArrayBlockingQueue<CallEvent>(4)
    private val asker = QuotaAsker(client) { events.add(it) }
    private val customer = CustomerId("large")

    @AfterEach
    fun close() = client.close()

    private fun ask(address: Address): CallEvent? {
        val wants = persistentListOf(QuotaWant(customer, 3))
        asker.ask(QuotaQuestion(address, askedAt, wants))
        return events.poll(10, TimeUnit.SECONDS)
    }

    /** The first question may meet a process that is still starting. */
    private fun awaitAnswer(address: Address): CallEvent =
        generateSequence { ask(address) }.first { it is CallEvent.QuotaAnswered }

    private fun relay(quotas: QuotaEndpoint?): Pair<RelayServer, Address> {
        val anyPort = Address("127.0.0.1", 0)
        val clients = ClientRegistry(ClientLimits(), clock) { }
        val server =
            RelayServer(anyPort, persistentHashMapOf(), client.loop, clock, clients, quotas)
        return server to Address("127.0.0.1", server.start())
    }

    @Test
    fun `a relay grants what it has and tells when it has the next token`() {
        val quotas = QuotaEndpoint(relayCount = 3, client.loop, clock)
        quotas.configure(persistentHashMapOf(customer to RequestQuota(6.0, 6)))
        val (server, address) = relay(quotas)
        server.use {
            awaitAnswer(address)
            clock.now += Duration.ofSeconds(1)
            val grant = QuotaGrant(customer, 2, Duration.ofMillis(500))
            val expected = CallEvent.QuotaAnswered(address, askedAt, persistentListOf(grant))
            expectThat(awaitAnswer(address)).isEqualTo(expected)
        }
    }

    @Test
    fun `a relay that knows no quotas grants none and one that is gone refuses`() {
        val (server, address) = relay(quotas = null)
        val silent = CallEvent.QuotaUnanswered(address, askedAt, RelayFailure.Silent)
        server.use { expectThat(ask(address)).isEqualTo(silent) }
        val gone = Address("127.0.0.1", ServerSocket(0).use { it.localPort })
        val refused = CallEvent.QuotaUnanswered(gone, askedAt, RelayFailure.Refused)
        expectThat(ask(gone)).isEqualTo(refused)
    }
}
