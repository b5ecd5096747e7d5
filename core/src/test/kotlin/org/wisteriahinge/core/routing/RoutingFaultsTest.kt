package org.wisteriahinge.core.routing

import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList
import org.junit.jupiter.api.Test
import org.wisteriahinge.core.availability.AvailabilityState
import org.wisteriahinge.core.call.AttemptFailure
import org.wisteriahinge.core.membership.TargetLoad
import org.wisteriahinge.core.membership.TargetNotice
import org.wisteriahinge.core.model.Address
import org.wisteriahinge.core.model.AttemptId
import org.wisteriahinge.core.model.Entitlements
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.core.model.LoadReport
import org.wisteriahinge.core.model.OperationId
import org.wisteriahinge.core.model.Service
import org.wisteriahinge.core.model.ServiceId
import org.wisteriahinge.core.model.Target
import org.wisteriahinge.core.model.TargetId
import org.wisteriahinge.core.model.WorkClass
import org.wisteriahinge.core.model.Zone
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNull
import strikt.assertions.isTrue

/** Guards the choice of targets against single faults: errors, slowness, false reports, drains. */
class RoutingFaultsTest {
    private val service = ServiceId("lookup")
    private val operation = OperationId("get")
    private val start = Instant.EPOCH.plusSeconds(1_000)

    private fun target(number: Int) =
        Target(TargetId("t$number"), Zone("z${number % 2}"), Address("10.0.0.$number", 80), 3)

    private fun entitlements(count: Int): Entitlements {
        val targets = (0 until count).map { target(it) }.toPersistentList()
        val known = Service(service, targets, persistentListOf())
        return Entitlements(persistentHashMapOf(service to known), persistentHashMapOf())
    }

    private fun routing(count: Int, policy: RoutingPolicy = RoutingPolicy.LeastExpectedTime()) =
        RoutingState(policy, Zone("z0"), seed = 5).configured(entitlements(count))

    private data class Step(val routing: RoutingState, val target: TargetId)

    /** Runs one call that ends [took] after [now] with the result that [answer] returns. */
    private fun RoutingState.call(
        now: Instant,
        took: Duration = Duration.ofMillis(10),
        answer: (TargetId) -> AttemptResult
    ): Step {
        val choice = choose(TargetRequest(service, WorkClass.Short), now) as TargetChoice.Chosen
        val id = AttemptId(choice.routing.choices)
        val target = choice.target.id
        val ended = choice.routing.attemptStarted(id, target, operation, now)
            .attemptResult(id, answer(target), now + took)
            .attemptEnded(id)
        return Step(ended, target)
    }

    private fun good(at: Instant) = AttemptResult.Answered(200, LoadReport(0, 3, at))

    /** Runs [count] calls, 10 ms apart, and counts the calls of each target. */
    private fun RoutingState.calls(
        count: Int,
        from: Instant = start,
        took: (TargetId) -> Duration = { Duration.ofMillis(10) },
        answer: (TargetId, Instant) -> AttemptResult = { _, at -> good(at) }
    ): Pair<RoutingState, Map<TargetId, Int>> {
        val steps = generateSequence(Step(this, TargetId("none")) to from) { (step, now) ->
            val choice = step.routing.choose(TargetRequest(service, WorkClass.Short), now)
            val next = (choice as TargetChoice.Chosen).target.id
            val spent = took(next)
            step.routing.call(now, spent) { answer(it, now + spent) } to now.plusMillis(10)
        }.drop(1).take(count).map { it.first }.toList()
        return steps.last().routing to steps.groupingBy { it.target }.eachCount()
    }

    private fun RoutingState.stateOf(number: Int) =
        targets.getValue(TargetId("t$number")).health.state

    @Test
    fun `fast errors do not attract traffic`() {
        val (routing, calls) = routing(6).calls(300) { id, at ->
            if (id.value == "t0") AttemptResult.Answered(500, LoadReport(0, 3, at)) else good(at)
        }
        expectThat(routing.stateOf(0)).isEqualTo(AvailabilityState.Ejected)
        // Two failures eject it; in the 3 s, trials follow after at least 0.25, 0.5 and 1 s.
        expectThat(calls[TargetId("t0")] ?: 0).isLessThanOrEqualTo(2 + 3)
    }

    @Test
    fun `at most half of the targets are ejected and the rest still serve`() {
        val (routing, _) = routing(6).calls(200) { _, at ->
            AttemptResult.Answered(500, LoadReport(0, 3, at))
        }
        val ejected = routing.targets.values.count {
            it.health.state == AvailabilityState.Ejected
        }
        expectThat(ejected).isLessThanOrEqualTo(3)
        val choice = routing.choose(TargetRequest(service, WorkClass.Short), start.plusSeconds(9))
        expectThat(choice is TargetChoice.Chosen).isTrue()
    }

    @Test
    fun `an ejected target gets trials and is used again once it recovers`() {
        val (failed, _) = routing(4).calls(100) { id, at ->
            if (id.value == "t0") AttemptResult.Answered(500, null) else good(at)
        }
        val (recovered, calls) = failed.calls(400, from = start.plusSeconds(30))
        expectThat(recovered.stateOf(0)).isEqualTo(AvailabilityState.Warm)
        expectThat(calls[TargetId("t0")] ?: 0).isGreaterThan(10)
    }

    @Test
    fun `a target that becomes slow gets only trial requests`() {
        val (warm, _) = routing(6).calls(200)
        val slow = { id: TargetId -> Duration.ofMillis(if (id.value == "t0") 100 else 10) }
        val (after, calls) = warm.calls(300, from = start.plusSeconds(10), took = slow)
        expectThat(after.stateOf(0)).isEqualTo(AvailabilityState.Suspect)
        expectThat(calls[TargetId("t0")] ?: 0).isLessThan(15)
    }

    @Test
    fun `a load report that omits the instance's own requests is discarded`() {
        val busy = (1L..5L).fold(routing(2)) { state, id ->
            state.attemptStarted(AttemptId(id), TargetId("t0"), operation, start)
        }
        val misreported = busy.loadReported(TargetId("t0"), LoadReport(0, 3, start.plusMillis(50)))
        expectThat(misreported.targets.getValue(TargetId("t0")).load).isNull()
    }

    @Test
    fun `a healthy probe does not reinstate an ejected target`() {
        val (failed, _) = routing(4).calls(100) { id, at ->
            if (id.value == "t0") AttemptResult.Answered(500, null) else good(at)
        }
        val report = LoadReport(0, 3, start.plusSeconds(2))
        val probed = failed.loadReported(TargetId("t0"), report)
        expectThat(probed.stateOf(0)).isEqualTo(AvailabilityState.Ejected)
    }

    @Test
    fun `a draining target gets no requests whichever source announced the drain`() {
        val id = TargetId("t0")
        val reported = LoadReport(0, 3, start, draining = true)
        val announced = TargetLoad(id, 0, 3, 200, TargetNotice.Draining)
        val refused = AttemptResult.Failed(AttemptFailure.TargetDraining, null)
        val sources = listOf(
            routing(3).loadReported(id, reported),
            routing(3).peerReported(persistentListOf(announced), start),
            routing(3).attemptStarted(AttemptId(1), id, operation, start)
                .attemptResult(AttemptId(1), refused, start).attemptEnded(AttemptId(1)),
            routing(3).configured(
                entitlements(3).let { all ->
                    val known = all.services.getValue(service)
                    val left = known.copy(targets = known.targets.removeAt(0))
                    all.copy(services = persistentHashMapOf(service to left))
                }
            )
        )
        sources.forEach { routing ->
            val (_, calls) = routing.calls(200)
            expectThat(id in calls).isFalse()
        }
    }

    @Test
    fun `a drain announced by peers expires when the target stops repeating it`() {
        val old = TargetLoad(TargetId("t0"), 0, 3, 60_000, TargetNotice.Draining)
        val announced = routing(2).peerReported(persistentListOf(old), start)
        val (_, calls) = announced.calls(50)
        expectThat(calls[TargetId("t0")] ?: 0).isGreaterThan(0)
    }

    @Test
    fun `a target that is no longer listed keeps its requests in flight`() {
        val id = TargetId("t0")
        val busy = routing(2).attemptStarted(AttemptId(1), id, operation, start)
        val empty = Entitlements(persistentHashMapOf(), persistentHashMapOf())
        val removed = busy.configured(empty)
        expectThat(removed.targets.getValue(id).inFlight).isEqualTo(1)
        expectThat(id in removed.attemptEnded(AttemptId(1)).targets).isFalse()
    }

    @Test
    fun `probes of all instances stay within the budget of every target`() {
        listOf(18, 100, 400).forEach { count ->
            val all = (0 until count).map { InstanceId("i$it") }
            val live = persistentSetOf<InstanceId>().addAll(all)
            val perTarget = all.flatMap { self ->
                val member = routing(20).membersChanged(self, live)
                val first = member.dueProbes(start)
                val again = first.routing.dueProbes(start.plusMillis(999))
                first.targets + again.targets
            }.groupingBy { it.id }.eachCount()
            expectThat(perTarget.size).isEqualTo(20)
            // 1% of the time of 3 slots is 30 ms per second: six probes of 5 ms.
            expectThat(perTarget.values.max()).isLessThanOrEqualTo(6)
        }
    }
}
