package org.wisteriahinge.core.call

import java.time.Duration
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.Test
import org.wisteriahinge.core.call.OpenRoutesFixture.arriveOpen
import org.wisteriahinge.core.call.OpenRoutesFixture.player
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
        val player = player().arriveOpen(request(1, path = "/nothing/"))
        expectThat(player.refusals.single().reason).isEqualTo(RefusalReason.UnknownOperation)
        expectThat(player.forwarded).isEmpty()
    }

    @Test
    fun `before the first configuration a request is told to come back`() {
        val state = CallsState(
            Configuration.Empty,
            RoutingState(RoutingPolicy.LeastExpectedTime(), Zone("a"), seed = 1)
        )
        val refusal = CallPlayer(state).arriveOpen(request(1)).refusals.single()
        expectThat(refusal.reason).isEqualTo(RefusalReason.NotReady)
        expectThat(refusal.retryAfter).isNotNull()
    }

    @Test
    fun `a call ends at the time of its route when the caller would wait longer`() {
        val attempt = player().arriveOpen(request(1)).forwarded.single()
        expectThat(attempt.deadline).isEqualTo(start.plusMillis(1_000))
    }

    @Test
    fun `a request that may have run once is not sent again`() {
        val player = player().arriveOpen(request(1, "/results/new/1"))
        val attempt = player.forwarded.single()
        player.fail(1, attempt, AttemptFailure.Disconnected)
        expectThat(player.forwarded).isEmpty()
        expectThat(player.refusals.single().reason.status).isEqualTo(502)
    }

    @Test
    fun `a request that did not run is sent to another target`() {
        val player = player().arriveOpen(request(1, "/results/new/1"))
        val first = player.forwarded.single()
        player.fail(1, first, AttemptFailure.Shed)
        expectThat(player.forwarded.single().target.id).isNotEqualTo(first.target.id)
    }

    @Test
    fun `a caller comes back sooner when the target that rejected it had free slots`() {
        val delays = listOf(1, 3).map { inFlight ->
            val player = player(ratio = 0.0).arriveOpen(request(1, "/results/new/1"))
            val attempt = player.forwarded.single()
            val load = report(start, inFlight)
            player.play(
                CallEvent.AttemptFailed(CallId(1), attempt.id, AttemptFailure.Shed, true, load)
            )
            player.refusals.single().retryAfter ?: Duration.ZERO
        }
        expectThat(delays[0]).isLessThan(delays[1])
    }

    @Test
    fun `an error answer counts against the targets of a request`() {
        val player = player().arriveOpen(request(1))
        player.answer(1, player.forwarded.single(), status = 500)
        val second = player.forwarded.single()
        player.answer(1, second, status = 500)
        expectThat(player.forwarded).isEmpty()
        expectThat(player.effects.any { it is CallEffect.Deliver }).isTrue()
    }

    @Test
    fun `a target that was not reached counts for nothing`() {
        val player = player(ratio = 0.0).arriveOpen(request(1, "/results/new/1"))
        player.fail(1, player.forwarded.single(), AttemptFailure.ConnectFailed)
        player.fail(1, player.forwarded.single(), AttemptFailure.ConnectFailed)
        expectThat(player.forwarded).hasSize(1)
    }

    @Test
    fun `without a budget a repeatable request is not repeated`() {
        val player = player(ratio = 0.0).arriveOpen(request(1))
        player.fail(1, player.forwarded.single(), AttemptFailure.Disconnected)
        expectThat(player.forwarded).isEmpty()
    }

    @Test
    fun `a status that promises that nothing ran is never told after a run`() {
        val player = player().arriveOpen(request(1))
        player.fail(1, player.forwarded.single(), AttemptFailure.Disconnected)
        player.fail(1, player.forwarded.single(), AttemptFailure.Shed)
        val refusal = player.refusals.single()
        expectThat(refusal.reason.status).isEqualTo(502)
        expectThat(refusal.execution).isEqualTo(Execution.MayHaveRun)
    }

    @Test
    fun `a slow repeatable request is hedged before half of its objective is over`() {
        val player = player().arriveOpen(request(1))
        player.now = start.plusMillis(125)
        player.play(CallEvent.Ticked)
        expectThat(player.forwarded).hasSize(1)
        expectThat(player.state.nextDueAt(player.now)).isEqualTo(player.now.plusSeconds(5))
    }

    @Test
    fun `the duty wakes when the hedge is due`() {
        val player = player().arriveOpen(request(1))
        expectThat(player.state.nextDueAt(start)).isEqualTo(start.plusMillis(125))
    }

    @Test
    fun `a slow request is not hedged at a target without a free slot`() {
        val player = player(targets = 2).arriveOpen(request(1))
        val busy = listOf("t1", "t2").first { it != player.forwarded.single().target.id.value }
        player.play(CallEvent.LoadReported(TargetId(busy), report(start, inFlight = 3)))
        player.now = start.plusMillis(130)
        player.play(CallEvent.Ticked)
        expectThat(player.forwarded).isEmpty()
    }

    @Test
    fun `a target that leaves the list gets no new work`() {
        val player = player(targets = 2)
        player.play(
            CallEvent.TargetsListed(
                ListedTargets(persistentHashMapOf(service to persistentListOf(targets(2)[1])))
            )
        )
        repeat(4) { number ->
            player.arriveOpen(request(number + 1L))
            expectThat(player.forwarded.single().target.id.value).isEqualTo("t2")
        }
    }
}
