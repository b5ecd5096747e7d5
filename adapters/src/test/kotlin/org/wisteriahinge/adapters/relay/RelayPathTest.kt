package org.wisteriahinge.adapters.relay

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import java.time.Clock
import java.time.Duration
import java.time.Instant
import java.time.ZoneId
import java.time.ZoneOffset
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicReference
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.wisteriahinge.adapters.backend.BackendClient
import org.wisteriahinge.adapters.backend.ConnectionLimits
import org.wisteriahinge.adapters.clients.ClientRegistry
import org.wisteriahinge.core.clients.ClientLimits
import org.wisteriahinge.core.model.Address
import org.wisteriahinge.core.watch.TopicPosition
import org.wisteriahinge.runtime.RecordFilter
import org.wisteriahinge.runtime.TopicFailure
import org.wisteriahinge.runtime.TopicMirror
import org.wisteriahinge.runtime.TopicRecords
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull

private const val TOPIC = "test"
private val MAX_AGE: Duration = Duration.ofMillis(1_440)
private val TIMEOUT: Duration = Duration.ofSeconds(10)

/** Guards against a relay whose followers take its old records for current ones. */
class RelayPathTest {
    /** A clock that is set by the test. */
    private class SettableClock(private val now: AtomicReference<Instant>) : Clock() {
        override fun instant(): Instant = now.get()
        override fun getZone(): ZoneId = ZoneOffset.UTC
        override fun withZone(zone: ZoneId): Clock = this
    }

    private val readAt = Instant.parse("2026-01-01T00:00:00Z")
    private val relayTime = AtomicReference(readAt)
    private val followerTime = AtomicReference(Instant.parse("2020-05-05T00:00:00Z"))
    private val client =
        BackendClient(ConnectionLimits(perTarget = 4, connectTimeout = Duration.ofSeconds(5)))
    private val end = TopicPosition(0, 7)
    private val mirror = TopicMirror(RecordFilter.EveryRecord) { }
    private val server = RelayServer(
        Address("127.0.0.1", 0),
        persistentHashMapOf(TOPIC to ServedTopic(MAX_AGE) { mirror.records }),
        client.loop,
        SettableClock(relayTime),
        ClientRegistry(ClientLimits(), Clock.systemUTC()) { }
    )
    private val relay =
        RelayTopic(TOPIC, Address("127.0.0.1", server.start()), client, SettableClock(followerTime))

    init {
        mirror.newestRead(page(readAt))
    }

    private fun page(currentAsOf: Instant) = TopicRecords(persistentListOf(), end, currentAsOf)

    @AfterEach
    fun close() {
        server.close()
        client.close()
    }

    @Test
    fun `records are as old for a follower as at the relay, whatever their clocks show`() {
        relayTime.set(readAt.plusMillis(500))
        val read = relay.newest(TIMEOUT).get()
        expectThat(read?.currentAsOf).isNotNull()
            .isLessThanOrEqualTo(followerTime.get().minusMillis(500))
            .isGreaterThanOrEqualTo(followerTime.get().minusMillis(502))
    }

    @Test
    fun `a relay that has read nothing for too long serves no records`() {
        relayTime.set(readAt + MAX_AGE.plusMillis(1))
        listOf(relay.newest(TIMEOUT), relay.changes(end, Duration.ZERO, TIMEOUT)).forEach {
            expectThat(it.getError()).isNotNull().isA<TopicFailure.Unavailable>()
        }
    }

    @Test
    fun `a relay that is cut off never dates its records later than its last read`() {
        val lastRead = followerTime.get()
        repeat(7) {
            relayTime.updateAndGet { it.plusMillis(200) }
            followerTime.updateAndGet { it.plusMillis(200) }
            listOf(relay.newest(TIMEOUT), relay.changes(end, Duration.ZERO, TIMEOUT)).forEach {
                expectThat(it.get()?.currentAsOf).isNotNull().isLessThanOrEqualTo(lastRead)
            }
        }
    }

    @Test
    fun `a read that waits ends when the relay has read the topic, although nothing changed`() {
        val read = CompletableFuture.supplyAsync { relay.changes(end, TIMEOUT, TIMEOUT) }
        val until = System.nanoTime() + TIMEOUT.toNanos()
        while (!read.isDone && System.nanoTime() < until) {
            relayTime.updateAndGet { it.plusMillis(10) }
            mirror.changesRead(page(relayTime.get()))
            server.onRead(TOPIC)
            Thread.sleep(5)
        }
        val records = read.get(1, TimeUnit.SECONDS).get()
        expectThat(records?.next).isEqualTo(end)
        expectThat(records?.currentAsOf).isNotNull()
            .isGreaterThanOrEqualTo(followerTime.get().minusMillis(1))
    }
}
