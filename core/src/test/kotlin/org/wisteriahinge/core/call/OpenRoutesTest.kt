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

/** Guards against requests of open routes that run twice, too often, too long or elsewhere. */
class OpenRoutesTest {
    @Test
    fun `the longest prefix of the host decides`() {
        expectThat(routes.match("lab.example:8080", "/results/new/1?q=/x/")?.id?.value)
            .isEqualTo("write")
        expectThat(routes.match("LAB.example", "/results/newer")?.id?.value).isEqualTo("read")
        expectThat(routes.match("other.example", "/results/7")).isEqualTo(null)
    }

    @Test
    fun `a request without a route is refused as unknown and nothing is sent`() {
        val harness = harness().arriveOpen(request(1, path = "/nothing/"))
        expectThat(harness.refusals.single().reason).isEqualTo(RefusalReason.UnknownOperation)
        expectThat(harness.forwarded).isEmpty()
    }

    @Test
    fun `before the first configuration a request is told to come back`() {
        val state = CallsState(
            Configuration.Empty,
            RoutingState(RoutingPolicy.Wisteriahinge(), Zone("a"), seed = 1)
        )
        val refusal = CallsHarness(state).arriveOpen(request(1)).refusals.single()
        expectThat(refusal.reason).isEqualTo(RefusalReason.NotReady)
        expectThat(refusal.retryAfter).isNotNull()
    }

    @Test
    fun `a call ends at the time of its route when the caller would wait longer`() {
        val attempt = harness().arriveOpen(request(1)).forwarded.single()
        expectThat(attempt.deadline).isEqualTo(start.plusMillis(1_000))
    }

    @Test
    fun `a request that may have run once is not sent again`() {
        val harness = harness().arriveOpen(request(1, "/results/new/1"))
        val attempt = harness.forwarded.single()
        harness.fail(1, attempt, AttemptFailure.Disconnected)
        expectThat(harness.forwarded).isEmpty()
        expectThat(harness.refusals.single().reason.status).isEqualTo(502)
    }

    @Test
    fun `a request that did not run is sent to another target`() {
        val harness = harness().arriveOpen(request(1, "/results/new/1"))
        val first = harness.forwarded.single()
        harness.fail(1, first, AttemptFailure.Shed)
        expectThat(harness.forwarded.single().target.id).isNotEqualTo(first.target.id)
    }

    @Test
    fun `a caller comes back sooner when the target that rejected it had free slots`() {
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
    fun `an error answer counts against the targets of a request`() {
        val harness = harness().arriveOpen(request(1))
        harness.answer(1, harness.forwarded.single(), status = 500)
        val second = harness.forwarded.single()
        harness.answer(1, second, status = 500)
        expectThat(harness.forwarded).isEmpty()
        expectThat(harness.effects.any { it is CallEffect.Deliver }).isTrue()
    }

    @Test
    fun `a target that was not reached counts for nothing`() {
        val harness = harness(ratio = 0.0).arriveOpen(request(1, "/results/new/1"))
        harness.fail(1, harness.forwarded.single(), AttemptFailure.ConnectFailed)
        harness.fail(1, harness.forwarded.single(), AttemptFailure.ConnectFailed)
        expectThat(harness.forwarded).hasSize(1)
    }

    @Test
    fun `without a budget a repeatable request is not repeated`() {
        val harness = harness(ratio = 0.0).arriveOpen(request(1))
        harness.fail(1, harness.forwarded.single(), AttemptFailure.Disconnected)
        expectThat(harness.forwarded).isEmpty()
    }

    @Test
    fun `a status that promises that nothing ran is never told after a run`() {
        val harness = harness().arriveOpen(request(1))
        harness.fail(1, harness.forwarded.single(), AttemptFailure.Disconnected)
        harness.fail(1, harness.forwarded.single(), AttemptFailure.Shed)
        val refusal = harness.refusals.single()
        expectThat(refusal.reason.status).isEqualTo(502)
        expectThat(refusal.execution).isEqualTo(Execution.MayHaveRun)
    }

    @Test
    fun `a slow repeatable request is hedged before half of its objective is over`() {
        val harness = harness().arriveOpen(request(1))
        harness.now = start.plusMillis(125)
        harness.handle(CallEvent.Ticked)
        expectThat(harness.forwarded).hasSize(1)
        expectThat(harness.state.tickDueAt(harness.now)).isEqualTo(harness.now.plusSeconds(5))
    }

    @Test
    fun `the duty wakes when the hedge is due`() {
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
    fun `a target that leaves the list gets no new work`() {
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
