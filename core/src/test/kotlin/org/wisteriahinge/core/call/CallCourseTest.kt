package org.wisteriahinge.core.call

import java.time.Duration
import org.junit.jupiter.api.Test
import org.wisteriahinge.core.call.OpenRoutesFixture.arriveOpen
import org.wisteriahinge.core.call.OpenRoutesFixture.player
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

/** Guards against failed calls whose end cannot be explained from the log. */
class CallCourseTest {
    private fun CallPlayer.courses() =
        effects.filterIsInstance<CallEffect.Explain>().map { it.course }

    @Test
    fun `a call that its first attempt answers leaves no course`() {
        val player = player().arriveOpen(request(1))
        val attempt = player.forwarded.single()
        expectThat(player.answer(1, attempt).courses()).isEmpty()
        expectThat(player.complete(1, attempt).courses()).isEmpty()
    }

    @Test
    fun `a call that is refused on arrival names the reason`() {
        val course = player().arriveOpen(request(1, path = "/nothing/")).courses().single()
        expectThat(course.end).isA<CallEnd.Refused>()
            .get { refusal.reason }.isEqualTo(RefusalReason.UnknownOperation)
        expectThat(course.steps).isEmpty()
    }

    @Test
    fun `a failed call shows its target, the failure and why no attempt followed`() {
        val player = player().arriveOpen(request(1, path = "/results/new/7"))
        val attempt = player.forwarded.single()
        player.now = start + Duration.ofMillis(40)
        val course = player.fail(1, attempt, AttemptFailure.Disconnected).courses().single()
        val target = attempt.target.id
        expectThat(course.end).isA<CallEnd.Refused>()
            .get { refusal.execution }.isEqualTo(Execution.MayHaveRun)
        expectThat(course.steps).containsExactly(
            CourseStep.Sent(start, 1, KnownTarget(target, own = 0, report = null)),
            CourseStep.Failed(player.now, target, AttemptFailure.Disconnected),
            CourseStep.NotRetried(player.now, RetryDenial.NotRepeatable)
        )
    }

    @Test
    fun `a call that a second attempt answers shows both`() {
        val player = player().arriveOpen(request(1))
        val second = player.fail(1, player.forwarded.single(), AttemptFailure.Shed)
            .forwarded.single()
        player.answer(1, second)
        val course = player.complete(1, second).courses().single()
        expectThat(course.end).isEqualTo(CallEnd.Answered)
        expectThat(course.steps).hasSize(3)
    }

    @Test
    fun `a caller that leaves is shown with what its attempt may have done`() {
        val player = player().arriveOpen(request(1))
        val course = player.play(CallEvent.CallerGone(CallId(1))).courses().single()
        expectThat(course.end).isEqualTo(CallEnd.CallerGone(Execution.MayHaveRun))
    }

    @Test
    fun `a refusal for lack of room shows what the targets reported`() {
        val survey = SurveyPolicy.BeforeEach(targets = 1, moreTargets = 1)
        val player = player(targets = 1, survey = survey).arriveOpen(request(1))
        val full = report(start, inFlight = 3)
        val course = player.play(CallEvent.LoadReported(TargetId("t1"), full)).courses().single()
        val step = course.steps.single()
        expectThat(step).isA<CourseStep.NoRoom>().get { asked.single().report }.isEqualTo(full)
    }
}
