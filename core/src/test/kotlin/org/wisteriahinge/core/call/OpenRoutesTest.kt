package org.wisteriahinge.core.call

import java.time.Duration
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.Test
import org.wisteriahinge.core.call.OpenRoutesFixture.arriveOpen
import org.wisteriahinge.core.call.OpenRoutesFixture.harness
import org.wisteriahinge.core.call.OpenRoutesFixture.report
import org.wisteriahinge.core.call.OpenRoutesFixture.request
import org.wisteriahinge.core.call.OpenRoutesFixture.routes
import org.wisteriahinge.core.call.OpenRoutesFixture.service
import org.wisteriahinge.core.call.OpenRoutesFixture.start
import org.wisteriahinge.core.call.OpenRoutesFixture.targets
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.Configuration
import org.wisteriahinge.core.model.Execution
import org.wisteriahinge.core.model.ListedTargets
import org.wisteriahinge.core.model.RefusalReason
import org.wisteriahinge.core.model.TargetId
import org.wisteriahinge.core.model.Zone
import org.wisteriahinge.core.routing.RoutingPolicy
import org.wisteriahinge.core.routing.RoutingState
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isTrue

/** Guards against open-route requests that run twice, too often, too long or at a wrong target. */
class OpenRoutesTest {
    @Test
    fun `a request matches the route with its host and the longest path prefix`() {
        expectThat(routes.match("lab.example:8080", "/results/new/1?q=/x/")?.id?.value)
            .isEqualTo("write")
        expectThat(routes.match("LAB.example", "/results/newer")?.id?.value).isEqualTo("read")
        expectThat(routes.match("other.example", "/results/7")).isEqualTo(null)
    }

    @Test
    fun `a request without a route is refused as unknown and not forwarded`() {
        val harness = harness().arriveOpen(request(1, path = "/nothing/"))
        expectThat(harness.refusals.single().reason).isEqualTo(RefusalReason.UnknownOperation)
        expectThat(harness.forwarded).isEmpty()
    }

    @Test
    fun `before the first configuration a request is refused with a retry delay`() {
        val state = CallsState(
            Configuration.Empty,
            RoutingState(RoutingPolicy.LeastExpectedTime(), Zone("a"), seed = 1)
        )
        val refusal = CallsHarness(state).arriveOpen(request(1)).refusals.single()
        expectThat(refusal.reason).isEqualTo(RefusalReason.NotReady)
        expectThat(refusal.retryAfter).isNotNull()
    }

    @Test
    fun `the route's timeout limits the deadline of the caller`() {
        val attempt = harness().arriveOpen(request(1)).forwarded.single()
        expectThat(attempt.deadline).isEqualTo(start.plusMillis(1_000))
    }

    @Test
    fun `a non-repeatable request that may have run is not retried`() {
        val harness = harness().arriveOpen(request(1, "/results/new/1"))
        val attempt = harness.forwarded.single()
        harness.fail(1, attempt, AttemptFailure.Disconnected)
        expectThat(harness.forwarded).isEmpty()
        expectThat(harness.refusals.single().reason.status).isEqualTo(502)
    }

    @Test
    fun `a non-repeatable request that did not run is retried at another target`() {
        val harness = harness().arriveOpen(request(1, "/results/new/1"))
        val first = harness.forwarded.single()
        harness.fail(1, first, AttemptFailure.Shed)
        expectThat(harness.forwarded.single().target.id).isNotEqualTo(first.target.id)
    }

    @Test
    fun `the retry delay is shorter if the target that shed had free slots`() {
        val delays = listOf(1, 3).map { inFlight ->
            val harness = harness(ratio = 0.0).arriveOpen(request(1, "/results/new/1"))
            val attempt = harness.forwarded.single()
            val load = report(start, inFlight)
            harness.handle(
                CallEvent.AttemptFailed(CallId(1), attempt.id, AttemptFailure.Shed, true, load)
            )
            harness.refusals.single().retryAfter ?: Duration.ZERO
        }
        expectThat(delays[0]).isLessThan(delays[1])
    }

    @Test
    fun `an attempt with an error answer counts against the maximum of targets`() {
        val harness = harness().arriveOpen(request(1))
        harness.answer(1, harness.forwarded.single(), status = 500)
        val second = harness.forwarded.single()
        harness.answer(1, second, status = 500)
        expectThat(harness.forwarded).isEmpty()
        expectThat(harness.effects.any { it is CallEffect.Deliver }).isTrue()
    }

    @Test
    fun `an attempt that reached no target needs no retry budget`() {
        val harness = harness(ratio = 0.0).arriveOpen(request(1, "/results/new/1"))
        harness.fail(1, harness.forwarded.single(), AttemptFailure.ConnectFailed)
        harness.fail(1, harness.forwarded.single(), AttemptFailure.ConnectFailed)
        expectThat(harness.forwarded).hasSize(1)
    }

    @Test
    fun `a repeatable request is not retried without a budget`() {
        val harness = harness(ratio = 0.0).arriveOpen(request(1))
        harness.fail(1, harness.forwarded.single(), AttemptFailure.Disconnected)
        expectThat(harness.forwarded).isEmpty()
    }

    @Test
    fun `a refusal never states that a request did not run after it may have run`() {
        val harness = harness().arriveOpen(request(1))
        harness.fail(1, harness.forwarded.single(), AttemptFailure.Disconnected)
        harness.fail(1, harness.forwarded.single(), AttemptFailure.Shed)
        val refusal = harness.refusals.single()
        expectThat(refusal.reason.status).isEqualTo(502)
        expectThat(refusal.execution).isEqualTo(Execution.MayHaveRun)
    }

    @Test
    fun `a slow repeatable request is hedged after half of its objective`() {
        val harness = harness().arriveOpen(request(1))
        harness.now = start.plusMillis(125)
        harness.handle(CallEvent.Ticked)
        expectThat(harness.forwarded).hasSize(1)
        expectThat(harness.state.tickDueAt(harness.now)).isEqualTo(harness.now.plusSeconds(5))
    }

    @Test
    fun `the next tick is due when the next hedge is`() {
        val harness = harness().arriveOpen(request(1))
        expectThat(harness.state.tickDueAt(start)).isEqualTo(start.plusMillis(125))
    }

    @Test
    fun `a slow request is not hedged at a target without a free slot`() {
        val harness = harness(targets = 2).arriveOpen(request(1))
        val busy = listOf("t1", "t2").first { it != harness.forwarded.single().target.id.value }
        harness.handle(CallEvent.LoadReported(TargetId(busy), report(start, inFlight = 3)))
        harness.now = start.plusMillis(130)
        harness.handle(CallEvent.Ticked)
        expectThat(harness.forwarded).isEmpty()
    }

    @Test
    fun `a target that is no longer listed gets no new requests`() {
        val harness = harness(targets = 2)
        harness.handle(
            CallEvent.TargetsListed(
                ListedTargets(persistentHashMapOf(service to persistentListOf(targets(2)[1])))
            )
        )
        repeat(4) { number ->
            harness.arriveOpen(request(number + 1L))
            expectThat(harness.forwarded.single().target.id.value).isEqualTo("t2")
        }
    }
}
