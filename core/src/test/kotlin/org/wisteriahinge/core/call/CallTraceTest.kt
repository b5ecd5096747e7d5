package org.wisteriahinge.core.call

import java.time.Duration
import org.junit.jupiter.api.Test
import org.wisteriahinge.core.call.OpenRoutesFixture.arriveOpen
import org.wisteriahinge.core.call.OpenRoutesFixture.harness
import org.wisteriahinge.core.call.OpenRoutesFixture.report
import org.wisteriahinge.core.call.OpenRoutesFixture.request
import org.wisteriahinge.core.call.OpenRoutesFixture.start
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.Execution
import org.wisteriahinge.core.model.RefusalReason
import org.wisteriahinge.core.model.TargetId
import org.wisteriahinge.core.retry.RetryDenial
import org.wisteriahinge.core.survey.SurveyPolicy
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

/** Guards against failed calls whose cause cannot be found in the log. */
class CallTraceTest {
    private fun CallsHarness.traces() =
        effects.filterIsInstance<CallEffect.LogCall>().map { it.trace }

    @Test
    fun `a call answered by its first attempt is not logged`() {
        val harness = harness().arriveOpen(request(1))
        val attempt = harness.forwarded.single()
        expectThat(harness.answer(1, attempt).traces()).isEmpty()
        expectThat(harness.complete(1, attempt).traces()).isEmpty()
    }

    @Test
    fun `a call refused on arrival is logged with the reason`() {
        val trace = harness().arriveOpen(request(1, path = "/nothing/")).traces().single()
        expectThat(trace.end).isA<CallEnd.Refused>()
            .get { refusal.reason }.isEqualTo(RefusalReason.UnknownOperation)
        expectThat(trace.steps).isEmpty()
    }

    @Test
    fun `a failed call is logged with its target, the failure and why it was not retried`() {
        val harness = harness().arriveOpen(request(1, path = "/results/new/7"))
        val attempt = harness.forwarded.single()
        harness.now = start + Duration.ofMillis(40)
        val trace = harness.fail(1, attempt, AttemptFailure.Disconnected).traces().single()
        val target = attempt.target.id
        expectThat(trace.end).isA<CallEnd.Refused>()
            .get { refusal.execution }.isEqualTo(Execution.MayHaveRun)
        expectThat(trace.steps).containsExactly(
            TraceStep.Sent(start, 1, TargetSnapshot(target, own = 0, report = null)),
            TraceStep.Failed(harness.now, target, AttemptFailure.Disconnected),
            TraceStep.NotRetried(harness.now, RetryDenial.NotRepeatable)
        )
    }

    @Test
    fun `a call answered by its second attempt is logged with both attempts`() {
        val harness = harness().arriveOpen(request(1))
        val second = harness.fail(1, harness.forwarded.single(), AttemptFailure.Shed)
            .forwarded.single()
        harness.answer(1, second)
        val trace = harness.complete(1, second).traces().single()
        expectThat(trace.end).isEqualTo(CallEnd.Answered)
        expectThat(trace.steps).hasSize(3)
    }

    @Test
    fun `a call whose caller leaves is logged as possibly run`() {
        val harness = harness().arriveOpen(request(1))
        val trace = harness.handle(CallEvent.CallerGone(CallId(1))).traces().single()
        expectThat(trace.end).isEqualTo(CallEnd.CallerGone(Execution.MayHaveRun))
    }

    @Test
    fun `a refusal for lack of capacity is logged with the targets' load reports`() {
        val survey = SurveyPolicy.BeforeEach(targets = 1, secondRoundTargets = 1)
        val harness = harness(targets = 1, survey = survey).arriveOpen(request(1))
        val full = report(start, inFlight = 3)
        val trace = harness.handle(CallEvent.LoadReported(TargetId("t1"), full)).traces().single()
        val step = trace.steps.single()
        expectThat(step).isA<TraceStep.NoCapacity>().get { probed.single().report }.isEqualTo(full)
    }
}
