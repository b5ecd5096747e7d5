package org.wisteriahinge.core.handover

import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.Test
import org.wisteriahinge.core.call.Attempt
import org.wisteriahinge.core.call.AttemptFailure
import org.wisteriahinge.core.call.CallEffect
import org.wisteriahinge.core.call.CallEvent
import org.wisteriahinge.core.call.CallRequest
import org.wisteriahinge.core.call.CallsHarness
import org.wisteriahinge.core.call.CallsState
import org.wisteriahinge.core.call.OpenRoutesFixture
import org.wisteriahinge.core.call.OpenRoutesFixture.arriveOpen
import org.wisteriahinge.core.model.Address
import org.wisteriahinge.core.model.CallBounds
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.Execution
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.core.model.OperationId
import org.wisteriahinge.core.model.RefusalReason
import org.wisteriahinge.core.model.Repeatability
import org.wisteriahinge.core.model.ServiceId
import org.wisteriahinge.core.model.TargetId
import org.wisteriahinge.core.model.Zone
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotEqualTo
import strikt.assertions.isTrue
import strikt.assertions.single

private val SELF = InstanceId("front-1")
private val NEAR = peer("front-2", "a")
private val FAR = peer("front-3", "b")
private const val READ = "/results/7"
private const val WRITE = "/results/new/7"

private fun peer(name: String, zone: String) =
    PeerInstance(InstanceId(name), Zone(zone), Address("10.1.0.1", 7_540), "token-$name")

/** Guards against calls that are lost with the links of their instance, or run twice for it. */
class CallHandoverTest {
    private val harness = instance()

    private fun instance(policy: HandoverPolicy = HandoverPolicy.ToInstances(SELF)): CallsHarness {
        val harness = OpenRoutesFixture.harness()
        harness.state = harness.state.copy(handover = HandoverState(policy))
        return harness.handle(CallEvent.PeersListed(persistentListOf(NEAR, FAR)))
    }

    private fun CallsHarness.request(id: Long, path: String = READ): CallRequest =
        OpenRoutesFixture.request(id, path)
            .copy(arrivedAt = now, deadline = now + Duration.ofSeconds(2))

    private fun CallsHarness.send(id: Long, path: String = READ): Attempt =
        arriveOpen(request(id, path)).forwarded.single()

    private fun CallsHarness.failAll(id: Long, first: Attempt, count: Int): Attempt =
        (1..count).fold(first) { attempt, _ ->
            fail(id, attempt, AttemptFailure.ConnectFailed).forwarded.single()
        }

    private val Attempt.peer: InstanceId?
        get() = when (val way = path) {
            AttemptPath.Direct -> null
            is AttemptPath.ThroughInstance -> way.peer.id
        }

    @Test
    fun `a call that could not connect three times goes to an instance of its zone`() {
        val last = harness.failAll(1, harness.send(1), 3)
        expectThat(last.peer).isEqualTo(NEAR.id)
        expectThat(harness.state.handover.isLost(OpenRoutesFixture.service)).isTrue()
    }

    @Test
    fun `the next call of a lost service goes to another instance at once`() {
        harness.failAll(1, harness.send(1), 3)
        expectThat(harness.send(2).peer).isNotEqualTo(null)
    }

    @Test
    fun `an answer between failures keeps the service`() {
        val first = harness.send(1)
        val second = harness.fail(1, first, AttemptFailure.ConnectFailed).forwarded.single()
        harness.answer(1, second).complete(1, second)
        val third = harness.send(2)
        harness.fail(2, third, AttemptFailure.ConnectFailed)
        expectThat(harness.state.handover.isLost(OpenRoutesFixture.service)).isFalse()
    }

    @Test
    fun `the first probe that is answered ends the loss and restores the targets`() {
        harness.failAll(1, harness.send(1), 3)
        harness.now += Duration.ofMillis(300)
        val probes = harness.arriveOpen(harness.request(2)).effects
            .filterIsInstance<CallEffect.Probe>()
        expectThat(probes).hasSize(3)
        val load = OpenRoutesFixture.report(harness.now)
        harness.handle(CallEvent.LoadReported(probes.first().target.id, load))
        expectThat(harness.state.handover.paths).isEmpty()
        expectThat(harness.send(3).peer).isEqualTo(null)
    }

    @Test
    fun `an instance that declines is not asked again, and the call goes to the next one`() {
        val first = harness.failAll(1, harness.send(1), 3)
        val second = harness.fail(1, first, AttemptFailure.HandoverDeclined).forwarded.single()
        expectThat(second.peer).isEqualTo(FAR.id)
        val refused = harness.fail(1, second, AttemptFailure.HandoverDeclined).refusals
        expectThat(refused).single().and {
            get { reason }.isEqualTo(RefusalReason.NoTarget)
            get { execution }.isEqualTo(Execution.NotRun)
        }
        expectThat(harness.arriveOpen(harness.request(2)).refusals).hasSize(1)
    }

    @Test
    fun `an instance that declined is asked again after it started anew`() {
        val first = harness.failAll(1, harness.send(1), 3)
        harness.fail(1, first, AttemptFailure.HandoverDeclined)
        harness.handle(CallEvent.PeersListed(persistentListOf(NEAR.copy(token = "new"))))
        expectThat(harness.send(2).peer).isEqualTo(NEAR.id)
    }

    @Test
    fun `the instance that took the last call is asked first, even in another zone`() {
        val first = harness.failAll(1, harness.send(1), 3)
        val second = harness.fail(1, first, AttemptFailure.HandoverDeclined).forwarded.single()
        harness.answer(1, second).complete(1, second)
        harness.now += Duration.ofSeconds(1)
        expectThat(harness.send(2).peer).isEqualTo(FAR.id)
    }

    @Test
    fun `an instance that hands calls over itself is not asked`() {
        val call = HandedOverCall(
            NEAR.id,
            OpenRoutesFixture.service,
            OperationId("read"),
            Repeatability.Repeatable,
            CallBounds.None,
            callerAddress = null
        )
        harness.arriveOpen(harness.request(1).copy(handover = call))
        expectThat(harness.failAll(2, harness.send(2), 3).peer).isEqualTo(FAR.id)
    }

    @Test
    fun `a call that may not be repeated is not sent again after its instance broke off`() {
        val handedOver = harness.failAll(1, harness.send(1, WRITE), 3)
        val refused = harness.fail(1, handedOver, AttemptFailure.Disconnected).refusals
        expectThat(refused).single().get { execution }.isEqualTo(Execution.MayHaveRun)
    }

    @Test
    fun `an error answer that came through another instance is delivered`() {
        val handedOver = harness.failAll(1, harness.send(1), 3)
        harness.handle(CallEvent.Answered(CallId(1), handedOver.id, 500, null))
        expectThat(harness.effects.filterIsInstance<CallEffect.Deliver>()).hasSize(1)
    }

    @Test
    fun `a broken connection to another instance is no crash of a server`() {
        val handedOver = harness.failAll(1, harness.send(1), 3)
        harness.fail(1, handedOver, AttemptFailure.Disconnected)
        expectThat(harness.effects.filterIsInstance<CallEffect.CheckServer>()).isEmpty()
    }

    @Test
    fun `a call that was handed over is not handed over again`() {
        val call = HandedOverCall(
            SELF,
            OpenRoutesFixture.service,
            OperationId("read"),
            Repeatability.Repeatable,
            CallBounds(maxTargets = 2),
            callerAddress = null
        )
        val attempt = harness.arriveOpen(harness.request(1).copy(handover = call))
            .forwarded.single()
        val last = harness.failAll(1, attempt, 2)
        expectThat(harness.fail(1, last, AttemptFailure.ConnectFailed).refusals).hasSize(1)
        expectThat(harness.arriveOpen(harness.request(2).copy(handover = call)).refusals)
            .single().get { reason }.isEqualTo(RefusalReason.NoTarget)
    }

    @Test
    fun `a call of a service that is not known here is refused as not run`() {
        val call = HandedOverCall(
            SELF,
            ServiceId("unknown"),
            OperationId("read"),
            Repeatability.Repeatable,
            CallBounds.None,
            callerAddress = null
        )
        expectThat(harness.arriveOpen(harness.request(1).copy(handover = call)).refusals)
            .single().get { execution }.isEqualTo(Execution.NotRun)
    }

    @Test
    fun `a call of a service without listed targets goes to no other instance`() {
        harness.handle(CallEvent.TargetsListed(OpenRoutesFixture.listing(0)))
        val refused = harness.arriveOpen(harness.request(1))
        expectThat(refused.forwarded).isEmpty()
        expectThat(refused.refusals).single().get { reason }.isEqualTo(RefusalReason.NoTarget)
    }

    @Test
    fun `without other instances a lost service refuses at once and is tried again`() {
        val alone = instance().handle(CallEvent.PeersListed(persistentListOf()))
        val first = alone.send(1)
        alone.failAll(1, first, 2).let { alone.fail(1, it, AttemptFailure.ConnectFailed) }
        alone.now += Duration.ofMillis(300)
        val next = alone.arriveOpen(alone.request(2))
        expectThat(next.refusals).single().get { reason }.isA<RefusalReason.NoTarget>()
        expectThat(next.effects.filterIsInstance<CallEffect.Probe>()).hasSize(3)
    }

    @Test
    fun `targets that want a pause are not probed while their service is lost`() {
        val paused = listOf("t1", "t2", "t3").map(::TargetId)
        val limits = paused.fold(harness.state.routing.rateLimits) { all, id ->
            all.paused(id, harness.now + Duration.ofSeconds(9))
        }
        harness.state =
            harness.state.copy(routing = harness.state.routing.copy(rateLimits = limits))
        paused.forEach { harness.state = harness.state.lost(it, harness.now) }
        harness.now += Duration.ofMillis(300)
        val probes = harness.arriveOpen(harness.request(2)).effects
            .filterIsInstance<CallEffect.Probe>()
        expectThat(probes).single().get { target.id }.isEqualTo(TargetId("t4"))
    }

    private fun CallsState.lost(target: TargetId, now: Instant): CallsState =
        targetUnanswered(target, Unanswered.Conclusively, now).state

    @Test
    fun `silence counts only after an answer since the start, and only after a while`() {
        val targets = listOf("t1", "t2", "t3").map(::TargetId)
        targets.forEach { harness.handle(CallEvent.ProbeFailed(it)) }
        expectThat(harness.state.handover.paths).isEmpty()
        val load = OpenRoutesFixture.report(harness.now)
        harness.handle(CallEvent.LoadReported(TargetId("t4"), load))
        targets.forEach { harness.handle(CallEvent.ProbeFailed(it)) }
        expectThat(harness.state.handover.isLost(OpenRoutesFixture.service)).isFalse()
        harness.now += Duration.ofMillis(100)
        harness.handle(CallEvent.ProbeFailed(targets.first()))
        expectThat(harness.state.handover.isLost(OpenRoutesFixture.service)).isTrue()
    }
}
