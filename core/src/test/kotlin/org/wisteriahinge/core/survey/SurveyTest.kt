package org.wisteriahinge.core.survey

import org.junit.jupiter.api.Test
import org.wisteriahinge.core.call.CallEffect
import org.wisteriahinge.core.call.CallEvent
import org.wisteriahinge.core.call.OpenRoutesFixture.arriveOpen
import org.wisteriahinge.core.call.OpenRoutesFixture.harness
import org.wisteriahinge.core.call.OpenRoutesFixture.report
import org.wisteriahinge.core.call.OpenRoutesFixture.request
import org.wisteriahinge.core.call.OpenRoutesFixture.start
import org.wisteriahinge.core.call.OpenRoutesFixture.targets
import org.wisteriahinge.core.call.tickDueAt
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.Execution
import org.wisteriahinge.core.model.RefusalReason
import org.wisteriahinge.core.model.TargetId
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull

/** Guards against needless waits for load reports and against targets without capacity. */
class SurveyTest {
    private val twoAndTwo = SurveyPolicy.BeforeEach(
        targets = 2,
        firstTargets = 2,
        secondRoundTargets = 2
    )

    @Test
    fun `a survey probes a few targets and takes the one with a free slot at the usual pace`() {
        val harness = harness(survey = SurveyPolicy.BeforeEach(targets = 3, firstTargets = 3))
        harness.arriveOpen(request(1))
        val probed = harness.effects.filterIsInstance<CallEffect.Probe>().map { it.target.id }
        expectThat(probed).hasSize(3)
        harness.now = start.plusMillis(1)
        harness.handle(CallEvent.LoadReported(probed[0], report(harness.now, inFlight = 5)))
        harness.handle(CallEvent.LoadReported(probed[1], report(harness.now, pace = 400)))
        expectThat(harness.forwarded).isEmpty()
        harness.handle(CallEvent.LoadReported(probed[2], report(harness.now)))
        expectThat(harness.forwarded.single().target.id).isEqualTo(probed[2])
    }

    @Test
    fun `a call is refused early when no target has capacity`() {
        val harness = harness(survey = twoAndTwo)
        harness.arriveOpen(request(1))
        harness.now = start.plusMillis(1)
        repeat(2) {
            harness.effects.filterIsInstance<CallEffect.Probe>().map { it.target.id }.forEach {
                harness.handle(CallEvent.LoadReported(it, report(harness.now, inFlight = 6)))
            }
        }
        val refusal = harness.refusals.single()
        expectThat(refusal.reason).isEqualTo(RefusalReason.Overloaded)
        expectThat(refusal.execution).isEqualTo(Execution.NotRun)
        expectThat(refusal.retryAfter).isNotNull()
    }

    @Test
    fun `a call goes to a target with capacity that only the second round finds`() {
        val harness = harness(survey = twoAndTwo)
        harness.arriveOpen(request(1))
        harness.now = start.plusMillis(1)
        harness.effects.filterIsInstance<CallEffect.Probe>().map { it.target.id }.forEach {
            harness.handle(CallEvent.LoadReported(it, report(harness.now, inFlight = 6)))
        }
        val others = harness.effects.filterIsInstance<CallEffect.Probe>().map { it.target.id }
        expectThat(others).hasSize(2)
        harness.handle(CallEvent.LoadReported(others[0], report(harness.now, inFlight = 1)))
        expectThat(harness.forwarded.single().target.id).isEqualTo(others[0])
    }

    @Test
    fun `other targets are probed when all targets with capacity are slow`() {
        val harness = harness(survey = twoAndTwo)
        harness.arriveOpen(request(1))
        harness.now = start.plusMillis(1)
        harness.effects.filterIsInstance<CallEffect.Probe>().map { it.target.id }.forEach {
            harness.handle(CallEvent.LoadReported(it, report(harness.now, pace = 400)))
        }
        val others = harness.effects.filterIsInstance<CallEffect.Probe>().map { it.target.id }
        expectThat(others).hasSize(2)
        harness.handle(CallEvent.LoadReported(others[0], report(harness.now)))
        expectThat(harness.forwarded.single().target.id).isEqualTo(others[0])
    }

    @Test
    fun `a call is forwarded when all targets with capacity are slow`() {
        val harness =
            harness(targets = 2, survey = SurveyPolicy.BeforeEach(targets = 2, firstTargets = 2))
        harness.arriveOpen(request(1))
        harness.now = start.plusMillis(1)
        listOf("t1", "t2").forEach {
            harness.handle(CallEvent.LoadReported(TargetId(it), report(harness.now, pace = 400)))
        }
        expectThat(harness.forwarded).hasSize(1)
    }

    @Test
    fun `a survey expires when targets do not answer, and the call avoids them`() {
        val policy = SurveyPolicy.BeforeEach(targets = 2, firstTargets = 2)
        val harness = harness(survey = policy).arriveOpen(request(1))
        val probed = harness.effects.filterIsInstance<CallEffect.Probe>().map { it.target.id }
        expectThat(harness.state.tickDueAt(start)).isEqualTo(start + policy.maxWait)
        harness.now = start + policy.maxWait
        harness.handle(CallEvent.Ticked)
        expectThat(probed.contains(harness.forwarded.single().target.id)).isEqualTo(false)
    }

    @Test
    fun `targets with recent reports are not probed`() {
        val harness =
            harness(targets = 2, survey = SurveyPolicy.BeforeEach(targets = 2, firstTargets = 2))
        harness.arriveOpen(request(1))
        harness.now = start.plusMillis(1)
        listOf("t1", "t2").forEach {
            harness.handle(CallEvent.LoadReported(TargetId(it), report(harness.now, pace = 200)))
        }
        harness.now = start.plusMillis(2)
        harness.arriveOpen(request(2))
        expectThat(harness.effects.filterIsInstance<CallEffect.Probe>()).isEmpty()
        expectThat(harness.forwarded).hasSize(1)
    }

    @Test
    fun `a call whose caller leaves during its survey is not forwarded`() {
        val harness = harness(survey = SurveyPolicy.BeforeEach()).arriveOpen(request(1))
        harness.handle(CallEvent.CallerGone(CallId(1)))
        harness.now = start.plusMillis(50)
        harness.handle(CallEvent.Ticked)
        expectThat(harness.forwarded).isEmpty()
        expectThat(harness.state.surveys.open.size).isLessThan(1)
    }

    @Test
    fun `a second target is probed only when the first one has no room at its usual pace`() {
        val harness = harness(survey = SurveyPolicy.BeforeEach(targets = 2, firstTargets = 1))
        harness.arriveOpen(request(1))
        val first = harness.effects.filterIsInstance<CallEffect.Probe>().single().target.id
        harness.now = start.plusMillis(1)
        harness.handle(CallEvent.LoadReported(first, report(harness.now, pace = 400)))
        val second = harness.effects.filterIsInstance<CallEffect.Probe>().single().target.id
        harness.handle(CallEvent.LoadReported(second, report(harness.now)))
        expectThat(harness.forwarded.single().target.id).isEqualTo(second)
    }
}
