package org.wisteriahinge.core.survey

import org.junit.jupiter.api.Test
import org.wisteriahinge.core.call.CallEffect
import org.wisteriahinge.core.call.CallEvent
import org.wisteriahinge.core.call.OpenRoutesFixture.arriveOpen
import org.wisteriahinge.core.call.OpenRoutesFixture.player
import org.wisteriahinge.core.call.OpenRoutesFixture.report
import org.wisteriahinge.core.call.OpenRoutesFixture.request
import org.wisteriahinge.core.call.OpenRoutesFixture.start
import org.wisteriahinge.core.call.OpenRoutesFixture.targets
import org.wisteriahinge.core.call.nextDueAt
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

/** Guards against requests that wait for load reports in vain, or go where there is no room. */
class SurveyTest {
    @Test
    fun `a survey asks a few targets and takes the one with a free slot at the usual pace`() {
        val player = player(survey = SurveyPolicy.BeforeEach(targets = 3))
        player.arriveOpen(request(1))
        val asked = player.effects.filterIsInstance<CallEffect.Probe>().map { it.target.id }
        expectThat(asked).hasSize(3)
        player.now = start.plusMillis(1)
        player.play(CallEvent.LoadReported(asked[0], report(player.now, inFlight = 5)))
        player.play(CallEvent.LoadReported(asked[1], report(player.now, pace = 400)))
        expectThat(player.forwarded).isEmpty()
        player.play(CallEvent.LoadReported(asked[2], report(player.now)))
        expectThat(player.forwarded.single().target.id).isEqualTo(asked[2])
    }

    @Test
    fun `a call is refused early when no target has room`() {
        val player = player(survey = SurveyPolicy.BeforeEach(targets = 2, moreTargets = 2))
        player.arriveOpen(request(1))
        player.now = start.plusMillis(1)
        repeat(2) {
            player.effects.filterIsInstance<CallEffect.Probe>().map { it.target.id }.forEach {
                player.play(CallEvent.LoadReported(it, report(player.now, inFlight = 6)))
            }
        }
        val refusal = player.refusals.single()
        expectThat(refusal.reason).isEqualTo(RefusalReason.Overloaded)
        expectThat(refusal.execution).isEqualTo(Execution.NotRun)
        expectThat(refusal.retryAfter).isNotNull()
    }

    @Test
    fun `a call goes to a target with room that only the second round finds`() {
        val player = player(survey = SurveyPolicy.BeforeEach(targets = 2, moreTargets = 2))
        player.arriveOpen(request(1))
        player.now = start.plusMillis(1)
        player.effects.filterIsInstance<CallEffect.Probe>().map { it.target.id }.forEach {
            player.play(CallEvent.LoadReported(it, report(player.now, inFlight = 6)))
        }
        val others = player.effects.filterIsInstance<CallEffect.Probe>().map { it.target.id }
        expectThat(others).hasSize(2)
        player.play(CallEvent.LoadReported(others[0], report(player.now, inFlight = 1)))
        expectThat(player.forwarded.single().target.id).isEqualTo(others[0])
    }

    @Test
    fun `others are asked when work takes long at all targets with room`() {
        val player = player(survey = SurveyPolicy.BeforeEach(targets = 2, moreTargets = 2))
        player.arriveOpen(request(1))
        player.now = start.plusMillis(1)
        player.effects.filterIsInstance<CallEffect.Probe>().map { it.target.id }.forEach {
            player.play(CallEvent.LoadReported(it, report(player.now, pace = 400)))
        }
        val others = player.effects.filterIsInstance<CallEffect.Probe>().map { it.target.id }
        expectThat(others).hasSize(2)
        player.play(CallEvent.LoadReported(others[0], report(player.now)))
        expectThat(player.forwarded.single().target.id).isEqualTo(others[0])
    }

    @Test
    fun `a call is sent on when work takes long everywhere`() {
        val player = player(targets = 2, survey = SurveyPolicy.BeforeEach(targets = 2))
        player.arriveOpen(request(1))
        player.now = start.plusMillis(1)
        listOf("t1", "t2").forEach {
            player.play(CallEvent.LoadReported(TargetId(it), report(player.now, pace = 400)))
        }
        expectThat(player.forwarded).hasSize(1)
    }

    @Test
    fun `a survey ends in time when targets do not answer, and avoids them`() {
        val policy = SurveyPolicy.BeforeEach(targets = 2)
        val player = player(survey = policy).arriveOpen(request(1))
        val asked = player.effects.filterIsInstance<CallEffect.Probe>().map { it.target.id }
        expectThat(player.state.nextDueAt(start)).isEqualTo(start + policy.waitUpTo)
        player.now = start + policy.waitUpTo
        player.play(CallEvent.Ticked)
        expectThat(asked.contains(player.forwarded.single().target.id)).isEqualTo(false)
    }

    @Test
    fun `fresh reports make a survey needless`() {
        val player = player(targets = 2, survey = SurveyPolicy.BeforeEach(targets = 2))
        player.arriveOpen(request(1))
        player.now = start.plusMillis(1)
        listOf("t1", "t2").forEach {
            player.play(CallEvent.LoadReported(TargetId(it), report(player.now, pace = 200)))
        }
        player.now = start.plusMillis(2)
        player.arriveOpen(request(2))
        expectThat(player.effects.filterIsInstance<CallEffect.Probe>()).isEmpty()
        expectThat(player.forwarded).hasSize(1)
    }

    @Test
    fun `a caller that leaves during a survey costs no target`() {
        val player = player(survey = SurveyPolicy.BeforeEach()).arriveOpen(request(1))
        player.play(CallEvent.CallerGone(CallId(1)))
        player.now = start.plusMillis(50)
        player.play(CallEvent.Ticked)
        expectThat(player.forwarded).isEmpty()
        expectThat(player.state.surveys.open.size).isLessThan(1)
    }
}
