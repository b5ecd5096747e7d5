package org.wisteriahinge.core.call

import java.time.Duration
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.junit.jupiter.api.Test
import org.wisteriahinge.core.call.OpenRoutesFixture.arriveOpen
import org.wisteriahinge.core.call.OpenRoutesFixture.harness
import org.wisteriahinge.core.call.OpenRoutesFixture.request
import org.wisteriahinge.core.call.OpenRoutesFixture.service
import org.wisteriahinge.core.call.OpenRoutesFixture.start
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.OperationId
import org.wisteriahinge.core.model.TargetId
import org.wisteriahinge.core.retry.RetryDenial
import org.wisteriahinge.core.scarcity.ScarcityState
import org.wisteriahinge.core.scarcity.ServiceScarcity
import org.wisteriahinge.core.scarcity.Shortage
import org.wisteriahinge.core.survey.Survey
import org.wisteriahinge.core.survey.SurveyRound
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan

/** Requests of each kind before the slow ones, enough for a quantile of its answer times. */
private const val EARLIER = 100L
private const val TARGETS = 6

/** Guards against hedges that start too early or late, or that take capacity others need. */
class HedgeTest {
    private val slow = "/results/slow/1"
    private val fast = "/results/fast/1"

    /** Answers [EARLIER] requests for [path], each after [millis]. */
    private fun CallsHarness.answerEarlier(path: String, millis: Long, firstId: Long) = apply {
        (firstId until firstId + EARLIER).forEach { id ->
            val attempt = sendNow(id, path).forwarded.single()
            now += Duration.ofMillis(millis)
            answer(id, attempt)
            complete(id, attempt)
        }
    }

    private fun CallsHarness.sendNow(id: Long, path: String) =
        arriveOpen(request(id, path).copy(arrivedAt = now, deadline = now.plusSeconds(2)))

    private fun CallsHarness.tickAfter(millis: Long) = apply {
        now += Duration.ofMillis(millis)
        handle(CallEvent.Ticked)
    }

    /** Load: kinds of requests of 80 ms and 20 ms share the targets, one of the latter is slow. */
    @Test
    fun `a hedge starts after the quantile of its own kind of request`() {
        val harness = harness(TARGETS)
            .answerEarlier(slow, millis = 80, firstId = 1)
            .answerEarlier(fast, millis = 20, firstId = 1_001)
        harness.sendNow(5_001, slow)
        harness.sendNow(5_002, fast)
        val hedged = harness.tickAfter(50).effects.filterIsInstance<CallEffect.Forward>()
        expectThat(hedged.map { it.callId.value }).containsExactly(5_002)
        val later = harness.tickAfter(60).effects.filterIsInstance<CallEffect.Forward>()
        expectThat(later.map { it.callId.value }).containsExactly(5_001)
    }

    /** Load: each third request is slow, and its hedge answers first. */
    @Test
    fun `slow attempts that hedges replaced count in the quantile`() {
        val harness = harness(TARGETS).answerEarlier(fast, millis = 20, firstId = 1)
        (5_000L until 5_000 + EARLIER).forEach { id ->
            val first = harness.sendNow(id, fast).forwarded.single()
            val isSlow = id % 3 == 0L
            val hedge = if (isSlow) harness.tickAfter(40).forwarded.singleOrNull() else null
            harness.now += Duration.ofMillis(20)
            harness.answer(id, hedge ?: first).complete(id, hedge ?: first)
        }
        val times = harness.state.retries.of(service).answerTimes
        expectThat(times.getValue(OperationId("fast")).value)
            .isGreaterThan(Duration.ofMillis(30))
    }

    private fun CallsHarness.denials() =
        counters.filterIsInstance<CallCounter.HedgeDenied>().map { it.denial }

    /** Load: the only other target holds as many requests of this instance as it has slots. */
    @Test
    fun `a hedge does not go to a target whose slots this instance uses`() {
        val harness = harness(targets = 2).arriveOpen(request(1))
        val other = listOf("t1", "t2").first { it != harness.forwarded.single().target.id.value }
        val busy = harness.state.routing.targets.getValue(TargetId(other)).copy(inFlight = 3)
        val routing = harness.state.routing
        harness.state = harness.state.copy(
            routing = routing.copy(targets = routing.targets.put(busy.target.id, busy))
        )
        expectThat(harness.tickAfter(130).forwarded).isEmpty()
        expectThat(harness.denials()).containsExactly(RetryDenial.CallsWaiting)
    }

    /** Load: a peak in which one call in two finds no capacity. */
    @Test
    fun `calls are not hedged while many find no capacity`() {
        val harness = harness(TARGETS).arriveOpen(request(1))
        val shortage = Shortage(surveys = 20.0, full = 10.0, harness.now)
        harness.state = harness.state.copy(
            scarcity = ScarcityState(
                persistentHashMapOf(service to ServiceScarcity(shortage))
            )
        )
        expectThat(harness.tickAfter(130).forwarded).isEmpty()
        expectThat(harness.denials()).containsExactly(RetryDenial.Overloaded)
    }

    /** Load: a call found the targets of its first round full and asks others for a free slot. */
    @Test
    fun `a call is not hedged while another one searches for capacity`() {
        val harness = harness(TARGETS).arriveOpen(request(1)).arriveOpen(request(2))
        val surveys = harness.state.surveys
        val searching = Survey(
            awaiting = persistentSetOf(),
            expiresAt = start.plusSeconds(1),
            probed = persistentSetOf(),
            round = SurveyRound.Second
        )
        harness.state = harness.state.copy(surveys = surveys.withSurvey(CallId(2), searching))
        harness.tickAfter(130)
        expectThat(harness.forwarded).isEmpty()
        expectThat(harness.denials()).contains(RetryDenial.CallsWaiting)
    }
}
