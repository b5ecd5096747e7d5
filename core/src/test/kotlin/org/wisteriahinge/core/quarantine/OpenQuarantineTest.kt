package org.wisteriahinge.core.quarantine

import java.time.Duration
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
import org.junit.jupiter.api.Test
import org.wisteriahinge.core.call.Attempt
import org.wisteriahinge.core.call.AttemptFailure
import org.wisteriahinge.core.call.CallEffect
import org.wisteriahinge.core.call.CallEvent
import org.wisteriahinge.core.call.CallsHarness
import org.wisteriahinge.core.call.OpenRoutesFixture
import org.wisteriahinge.core.call.OpenRoutesFixture.arriveOpen
import org.wisteriahinge.core.call.RequestContent
import org.wisteriahinge.core.model.Address
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.Execution
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.core.model.RefusalReason
import org.wisteriahinge.core.model.RequestDigest
import org.wisteriahinge.core.model.Service
import org.wisteriahinge.core.model.ServiceId
import org.wisteriahinge.core.model.Target
import org.wisteriahinge.core.model.TargetId
import org.wisteriahinge.core.model.Zone
import org.wisteriahinge.core.routing.TargetView
import org.wisteriahinge.core.survey.SurveyPolicy
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.doesNotContain
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.single

private val CRASHER = RequestDigest("crasher")

/** Guards against requests of open routes that crash targets, and against blaming others. */
class OpenQuarantineTest {
    private val harness = instance()

    private fun instance(survey: SurveyPolicy = SurveyPolicy.Off, targets: Int = 4): CallsHarness {
        val harness = OpenRoutesFixture.harness(targets, survey)
        val settings = QuarantineSettings(
            evidence = CrashEvidence.EndedServer,
            exclusivePeriod = Duration.ZERO,
            suspicionPeriod = Duration.ofMinutes(10)
        )
        harness.state = harness.state.copy(quarantine = QuarantineState(settings))
        return harness
    }

    private fun CallsHarness.request(id: Long, digest: RequestDigest = CRASHER) =
        OpenRoutesFixture.request(id)
            .copy(content = { digest }, arrivedAt = now, deadline = now + Duration.ofSeconds(2))

    private fun CallsHarness.send(id: Long, digest: RequestDigest = CRASHER): Attempt =
        arriveOpen(request(id, digest)).forwarded.single()

    /** Content with the digest [CRASHER] for all callers together and one for each [caller]. */
    private fun sharedContent(caller: String) = object : RequestContent {
        override fun digest() = RequestDigest("$caller-crasher")

        override fun digestOfAnyCaller() = CRASHER

        override fun fingerprint() = 1L
    }

    private fun CallsHarness.sendShared(id: Long, caller: String): Attempt =
        arriveOpen(request(id).copy(content = sharedContent(caller))).forwarded.single()

    /** The connection of [attempt] breaks; the check of its server then says [ended]. */
    private fun CallsHarness.breakOff(id: Long, attempt: Attempt, ended: Boolean = true) {
        fail(id, attempt, AttemptFailure.Disconnected, replayable = false)
        val outcome = if (ended) ServerCheckOutcome.Ended else ServerCheckOutcome.Running
        handle(CallEvent.ServerChecked(attempt.target.id, outcome))
    }

    private fun CallsHarness.crash(id: Long) = breakOff(id, send(id))

    @Test
    fun `a request that ended three targets is refused with a status that promises no run`() {
        (1L..3L).forEach { harness.crash(it) }
        expectThat(harness.arriveOpen(harness.request(4)).refusals).single().and {
            get { reason }.isEqualTo(RefusalReason.CrashesServers)
            get { reason.status }.isEqualTo(503)
            get { execution }.isEqualTo(Execution.NotRun)
        }
    }

    /** Each of many addresses could otherwise end three targets with the same request. */
    @Test
    fun `a request that ended three targets is refused for callers from any address`() {
        listOf("a", "b", "c").forEachIndexed { index, caller ->
            val id = index + 1L
            harness.breakOff(id, harness.sendShared(id, caller))
        }
        harness.arriveOpen(harness.request(4).copy(content = sharedContent("d")))
        expectThat(harness.refusals).single()
            .get { reason }.isEqualTo(RefusalReason.CrashesServers)
    }

    /** A caller whose headers end targets must not take a path away from the others. */
    @Test
    fun `a request that others get answered is refused only for the caller that ends targets`() {
        val answered = harness.sendShared(1, "b")
        harness.answer(1, answered).complete(1, answered)
        (2L..4L).forEach { harness.breakOff(it, harness.sendShared(it, "a")) }
        harness.arriveOpen(harness.request(5).copy(content = sharedContent("a")))
        expectThat(harness.refusals).hasSize(1)
        harness.sendShared(6, "b")
    }

    /** A target that ends may run a popular request for several callers at once. */
    @Test
    fun `equal requests that ran at one target when it ended count as one crash`() {
        val single = instance(targets = 1)
        val attempts = listOf("a", "b", "c").mapIndexed { index, caller ->
            single.sendShared(index + 1L, caller)
        }
        attempts.forEachIndexed { index, attempt ->
            single.fail(index + 1L, attempt, AttemptFailure.Disconnected, replayable = false)
        }
        single.handle(
            CallEvent.ServerChecked(attempts.first().target.id, ServerCheckOutcome.Ended)
        )
        val shared = single.state.quarantine.suspects[SuspectKey.OfContent(CRASHER)]
        expectThat(shared?.crashes).isEqualTo(1)
    }

    @Test
    fun `connections that break at targets that still run are no crashes`() {
        (1L..9L).forEach { harness.breakOff(it, harness.send(it), ended = false) }
        expectThat(harness.state.quarantine.suspects).isEmpty()
    }

    @Test
    fun `connections that break while no server can be reached are no crashes`() {
        (1L..9L).forEach {
            val attempt = harness.send(it)
            harness.fail(it, attempt, AttemptFailure.Disconnected, replayable = false)
            harness.handle(CallEvent.ServerChecked(attempt.target.id, ServerCheckOutcome.Unknown))
        }
        expectThat(harness.state.quarantine.suspects).isEmpty()
    }

    @Test
    fun `a check asks other targets of the service whether the network works`() {
        val attempt = harness.send(1)
        val checks = harness.fail(1, attempt, AttemptFailure.Disconnected, replayable = false)
            .effects.filterIsInstance<CallEffect.CheckServer>()
        expectThat(checks).single().and {
            get { witnesses }.hasSize(3)
            get { witnesses.map { it.target } }.doesNotContain(attempt.target)
        }
    }

    /** A request that ends all targets of a small service leaves none there that answers. */
    @Test
    fun `a check asks targets of other services first`() {
        val harness = instance(targets = 4)
        val other = ServiceId("other")
        val views = listOf("u1", "u2").map {
            TargetView(other, Target(TargetId(it), Zone("a"), Address("10.0.1.1", 80), slots = 3))
        }
        val routing = harness.state.routing
        val entitlements = harness.state.configuration.entitlements
        harness.state = harness.state.copy(
            routing = routing.copy(
                targets = views.fold(routing.targets) { all, view -> all.put(view.target.id, view) }
            ),
            configuration = harness.state.configuration.copy(
                entitlements = entitlements.copy(
                    services = entitlements.services.put(
                        other,
                        Service(other, persistentListOf(), persistentListOf(), "/health")
                    )
                )
            )
        )
        val attempt = harness.send(1)
        val check = harness.fail(1, attempt, AttemptFailure.Disconnected, replayable = false)
            .effects.filterIsInstance<CallEffect.CheckServer>().single()
        expectThat(check.witnesses.map { it.target.id }.take(2))
            .containsExactlyInAnyOrder(TargetId("u1"), TargetId("u2"))
    }

    /** The only service may have lost all its targets; one that is back shows that it ended. */
    @Test
    fun `a server that refuses connections while no other answers is checked again`() {
        val attempt = harness.send(1)
        harness.fail(1, attempt, AttemptFailure.Disconnected, replayable = false)
        harness.handle(
            CallEvent.ServerChecked(attempt.target.id, ServerCheckOutcome.Unconfirmed)
        )
        expectThat(harness.state.quarantine.suspects).isEmpty()
        harness.now += Duration.ofMillis(500)
        expectThat(
            harness.handle(CallEvent.Ticked).effects.filterIsInstance<CallEffect.CheckServer>()
        )
            .single().get { target }.isEqualTo(attempt.target)
        harness.handle(CallEvent.ServerChecked(attempt.target.id, ServerCheckOutcome.Ended))
        expectThat(harness.state.quarantine.suspects.values).single()
            .get { crashes }.isEqualTo(1)
    }

    @Test
    fun `one check decides on all requests whose connections to a target broke at once`() {
        val single = instance(targets = 1)
        val attempts = (1L..2L).associateWith { single.send(it, RequestDigest("d-$it")) }
        val checks = attempts.entries.sumOf { (id, attempt) ->
            single.fail(id, attempt, AttemptFailure.Disconnected, replayable = false)
                .effects.count { it is CallEffect.CheckServer }
        }
        val target = attempts.getValue(1).target.id
        single.handle(CallEvent.ServerChecked(target, ServerCheckOutcome.Ended))
        expectThat(checks).isEqualTo(1)
        expectThat(single.state.quarantine.suspects.size).isEqualTo(2)
    }

    @Test
    fun `crashes that other instances counted are added up`() {
        harness.crash(1)
        listOf("b", "c").forEach {
            harness.handle(CallEvent.CrashesShared(CRASHER, InstanceId(it), crashes = 1))
        }
        expectThat(harness.arriveOpen(harness.request(2)).refusals).hasSize(1)
    }

    @Test
    fun `an innocent request that shared a target with a crashing one is served and cleared`() {
        val innocent = RequestDigest("innocent")
        harness.breakOff(1, harness.send(1, innocent))
        harness.handle(CallEvent.CrashesShared(innocent, InstanceId("b"), crashes = 1))
        val retry = harness.send(2, innocent)
        harness.answer(2, retry).complete(2, retry)
        expectThat(harness.effects.filterIsInstance<CallEffect.ClearCrashes>()).single()
            .get { instances }.isEqualTo(persistentSetOf(InstanceId("b")))
        expectThat(harness.state.quarantine.suspects).isEmpty()
    }

    @Test
    fun `a request that was answered before the check of its first target ended is not counted`() {
        val first = harness.send(1)
        val second = harness.fail(1, first, AttemptFailure.Disconnected).forwarded.single()
        harness.answer(1, second).complete(1, second)
        harness.handle(CallEvent.ServerChecked(first.target.id, ServerCheckOutcome.Ended))
        expectThat(harness.state.quarantine.suspects).isEmpty()
    }

    @Test
    fun `an answer that is cut off clears nothing`() {
        harness.crash(1)
        val attempt = harness.send(2)
        harness.answer(2, attempt)
        harness.handle(CallEvent.Truncated(CallId(2), attempt.id))
        harness.handle(CallEvent.ServerChecked(attempt.target.id, ServerCheckOutcome.Ended))
        expectThat(harness.state.quarantine.suspects.values).single()
            .get { crashes }.isEqualTo(2)
    }

    @Test
    fun `a call that waits for its survey is not sent once its request is quarantined`() {
        val waiting = instance(SurveyPolicy.BeforeEach())
        waiting.arriveOpen(waiting.request(1))
        expectThat(waiting.forwarded).isEmpty()
        waiting.handle(CallEvent.CrashesShared(CRASHER, InstanceId("b"), crashes = 3))
        waiting.now += Duration.ofSeconds(1)
        waiting.handle(CallEvent.Ticked)
        expectThat(waiting.forwarded).isEmpty()
        expectThat(waiting.refusals).single()
            .get { reason }.isEqualTo(RefusalReason.CrashesServers)
    }

    @Test
    fun `a count that another instance cleared is gone`() {
        harness.crash(1)
        harness.handle(CallEvent.CrashesCleared(CRASHER))
        expectThat(harness.state.quarantine.suspects).isEmpty()
    }

    @Test
    fun `a quarantined request is kept when many others are suspected`() {
        (1L..3L).forEach { harness.crash(it) }
        val settings = harness.state.quarantine.settings
        repeat(settings.maxSuspects + 10) {
            val other = CallEvent.CrashesShared(RequestDigest("o-$it"), InstanceId("b"), 1)
            harness.now += Duration.ofMillis(1)
            harness.handle(other)
        }
        expectThat(harness.arriveOpen(harness.request(9)).refusals).hasSize(1)
    }
}
