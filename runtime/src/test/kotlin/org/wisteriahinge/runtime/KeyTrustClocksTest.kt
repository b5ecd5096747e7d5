package org.wisteriahinge.runtime

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import java.time.Clock
import java.time.Duration
import java.time.Instant
import java.time.ZoneId
import java.time.ZoneOffset
import java.util.concurrent.CompletableFuture
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicReference
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
import org.junit.jupiter.api.Test
import org.wisteriahinge.core.call.CallEffect
import org.wisteriahinge.core.call.CallEvent
import org.wisteriahinge.core.call.CallRequest
import org.wisteriahinge.core.call.CallsState
import org.wisteriahinge.core.keys.ClockReading
import org.wisteriahinge.core.keys.KeyTrust
import org.wisteriahinge.core.model.Backend
import org.wisteriahinge.core.model.CallBounds
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.Configuration
import org.wisteriahinge.core.model.CustomerId
import org.wisteriahinge.core.model.KeyHash
import org.wisteriahinge.core.model.KeyedCustomer
import org.wisteriahinge.core.model.KeyedCustomers
import org.wisteriahinge.core.model.OperationId
import org.wisteriahinge.core.model.RefusalReason
import org.wisteriahinge.core.model.Repeatability
import org.wisteriahinge.core.model.RevisionNumber
import org.wisteriahinge.core.model.Route
import org.wisteriahinge.core.model.RouteTable
import org.wisteriahinge.core.model.ServiceId
import org.wisteriahinge.core.model.Zone
import org.wisteriahinge.core.routing.RoutingPolicy
import org.wisteriahinge.core.routing.RoutingState
import org.wisteriahinge.core.watch.TopicPosition
import org.wisteriahinge.core.watch.WatchTiming
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull

private val KEY = KeyHash.of("key")
private val BOUND: Duration = Duration.ofSeconds(5)
private const val WAIT_S = 10L

/** Guards against a clock that is read too late, so that an old configuration seems young. */
class KeyTrustClocksTest {
    private class SettableClock(start: Instant) : Clock() {
        private val now = AtomicReference(start)
        override fun instant(): Instant = now.get()
        override fun getZone(): ZoneId = ZoneOffset.UTC
        override fun withZone(zone: ZoneId): Clock = this
        fun advance(by: Duration) = now.updateAndGet { it + by }
    }

    private val steady = SettableClock(Instant.parse("2026-01-01T00:00:00Z"))
    private val timeOfDay = SettableClock(Instant.parse("2026-05-05T00:00:00Z"))

    private fun configuration(): Configuration {
        val id = CustomerId("a")
        val service = ServiceId("s")
        val route = Route(
            OperationId("r"),
            "h",
            "/",
            persistentListOf(Backend(service, 1)),
            Repeatability.Repeatable,
            CallBounds.None
        )
        val customer = KeyedCustomer(id, persistentSetOf(KEY))
        return Configuration.Empty.copy(
            revision = RevisionNumber(1),
            entitlements = Configuration.Empty.entitlements.copy(
                routes = RouteTable.of(listOf(route))
            ),
            keyed = KeyedCustomers(persistentHashMapOf(id to customer))
        )
    }

    private fun request(id: Long) = CallRequest(
        callId = CallId(id),
        credential = null,
        method = "GET",
        path = "/",
        idempotencyKey = null,
        digest = null,
        deadline = steady.instant().plusSeconds(WAIT_S),
        depth = 0,
        retriesAllowed = true,
        bodyBytes = 0,
        replayable = true,
        host = "h",
        apiKey = KEY
    )

    /** A process that runs on after [standstill]; the reason why its next call is refused. */
    private fun refusalAfter(standstill: () -> Unit): RefusalReason {
        val ring = Ring<CallMessage>("calls", 16, reserved = 8)
        val state = CallsState(
            Configuration.Empty,
            RoutingState(RoutingPolicy.RoundRobin, Zone("a"), seed = 1),
            keyTrust = KeyTrust(BOUND)
        )
        val duty = CallsDuty(ring, state, { }, steady, timeOfDay)
        val moment = ClockReading(steady.instant(), timeOfDay.instant())
        ring.offer(CallMessage(CallEvent.Configured(configuration())))
        ring.offer(CallMessage(CallEvent.ConfigurationConfirmed(moment)))
        duty.start()
        val before = refusalOf(ring, request(1))
        // The key was accepted; the service has no targets.
        expectThat(before).isEqualTo(RefusalReason.NoTarget)
        standstill()
        return refusalOf(ring, request(2)).also { duty.stop(Duration.ofSeconds(1)) }
    }

    private fun refusalOf(ring: Ring<CallMessage>, request: CallRequest): RefusalReason {
        val answer = CompletableFuture<CallEffect>()
        ring.offer(CallMessage(CallEvent.Arrived(request)) { answer.complete(it) })
        return (answer.get(WAIT_S, TimeUnit.SECONDS) as CallEffect.Refuse).refusal.reason
    }

    @Test
    fun `the first call after a standstill is refused, whichever clock shows it`() {
        val long = Duration.ofSeconds(20)
        expectThat(refusalAfter { steady.advance(long) })
            .isEqualTo(RefusalReason.ConfigurationTooOld)
        expectThat(refusalAfter { timeOfDay.advance(long) })
            .isEqualTo(RefusalReason.ConfigurationTooOld)
        expectThat(refusalAfter { timeOfDay.advance(long.negated()) })
            .isEqualTo(RefusalReason.ConfigurationTooOld)
        expectThat(refusalAfter { timeOfDay.advance(Duration.ofMillis(20)) })
            .isEqualTo(RefusalReason.NoTarget)
    }

    /** Its machine is suspended while the first read waits for its answer. */
    private inner class SuspendingTopic : KeyedTopic {
        override fun newest(timeout: Duration): Result<TopicRecords, TopicFailure> {
            val sentAt = steady.instant()
            timeOfDay.advance(Duration.ofSeconds(30))
            return Ok(TopicRecords(persistentListOf(), TopicPosition(0, 1), sentAt))
        }

        override fun changes(
            from: TopicPosition,
            waitUpTo: Duration,
            timeout: Duration
        ): Result<TopicRecords, TopicFailure> {
            Thread.sleep(Duration.ofSeconds(WAIT_S).toMillis())
            return Ok(TopicRecords(persistentListOf(), from, null))
        }
    }

    @Test
    fun `a read confirms the configuration as of its start on both clocks`() {
        val moments = LinkedBlockingQueue<ClockReading>()
        val pace = WatchTiming(Duration.ZERO, Duration.ofSeconds(WAIT_S), Duration.ZERO)
        val duty = TopicWatchDuty(
            FollowedTopic("test", pace, SuspendingTopic()),
            1,
            steady,
            { it.key },
            { },
            timeOfDay,
            moments::add
        )
        val started = ClockReading(steady.instant(), timeOfDay.instant())
        duty.start()
        expectThat(moments.poll(WAIT_S, TimeUnit.SECONDS)).isNotNull().isEqualTo(started)
        duty.stop(Duration.ofSeconds(1))
    }
}
