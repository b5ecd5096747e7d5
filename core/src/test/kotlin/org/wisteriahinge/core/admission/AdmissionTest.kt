package org.wisteriahinge.core.admission

import java.time.Duration
import kotlinx.collections.immutable.toPersistentSet
import org.junit.jupiter.api.Test
import org.wisteriahinge.core.call.Attempt
import org.wisteriahinge.core.call.AttemptFailure
import org.wisteriahinge.core.call.CallEffect
import org.wisteriahinge.core.call.CallEvent
import org.wisteriahinge.core.call.CallFixture
import org.wisteriahinge.core.call.CallsHarness
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.Execution
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.core.model.LoadReport
import org.wisteriahinge.core.model.RefusalReason
import org.wisteriahinge.core.model.TargetId
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.single

class AdmissionTest {
    private val harness = CallsHarness(CallFixture.state())
    private val limit = ConcurrencyLimit.initial(12).value.toInt()

    private fun fill() = (1L..limit).map { id ->
        harness.arrive(CallFixture.request(id)).forwarded.single()
    }

    private fun finish(id: Long, attempt: Attempt) =
        harness.answer(id, attempt).forwarded.also { harness.complete(id, attempt) }

    /** Guards against more calls at the targets than they can serve. */
    @Test
    fun `calls beyond the limit are queued until an answer releases a permit`() {
        val running = fill()
        expectThat(harness.arrive(CallFixture.request(100)).effects).isEmpty()
        expectThat(finish(1, running.first())).hasSize(1)
    }

    /** Guards against queueing a call that will certainly be refused. */
    @Test
    fun `a call that cannot be served in time is refused at once`() {
        fill()
        val urgent = CallFixture.request(100, timeout = Duration.ofMillis(10))
        expectThat(harness.arrive(urgent).refusals).single().and {
            get { reason }.isEqualTo(RefusalReason.Overloaded)
            get { execution }.isEqualTo(Execution.NotRun)
            get { retryAfter }.isNotNull()
        }
    }

    /** Guards against a long queue that remains after the peak. */
    @Test
    fun `the queue is bounded and every call ends`() {
        fill()
        val refused = (100L..2_000L).sumOf { harness.arrive(CallFixture.request(it)).refusals.size }
        val waiting = 1_901 - refused
        val settings = AdmissionSettings()
        expectThat(waiting).isLessThanOrEqualTo(settings.maxQueued)
        harness.now += Duration.ofSeconds(2)
        expectThat(harness.handle(CallEvent.Ticked).refusals).hasSize(waiting)
            .all { get { execution }.isEqualTo(Execution.NotRun) }
    }

    /** Guards against a customer that fills the queue and blocks others. */
    @Test
    fun `calls are dequeued by plan weight while both customers have queued calls`() {
        var running = fill().mapIndexed { index, attempt -> index + 1L to attempt }
        (100L..199L).forEach { harness.arrive(CallFixture.request(it)) }
        (200L..299L).forEach { harness.arrive(CallFixture.request(it, customer = "large")) }
        val served = (1..40).map {
            val (id, attempt) = running.first()
            // This load does not change the limit.
            harness.answer(id, attempt, load = LoadReport(6, 3, harness.now))
            val next = harness.effects.filterIsInstance<CallEffect.Forward>().single()
            harness.complete(id, attempt)
            running = running.drop(1) + (next.callId.value to next.attempt)
            next.callId.value
        }
        // The plan `large` has 3 times the weight of `basic`.
        expectThat(served.count { it >= 200 }).isEqualTo(30)
    }

    /** Guards against refusing a customer's calls because another customer fills the queue. */
    @Test
    fun `a full queue drops a call of the customer with the most queued calls`() {
        fill()
        (100L..2_000L).forEach { harness.arrive(CallFixture.request(it)) }
        harness.arrive(CallFixture.request(3_000, customer = "large"))
        expectThat(harness.effects.filterIsInstance<CallEffect.Refuse>()).single()
            .get { callId.value }.isLessThan(3_000)
    }

    /** Guards against short calls that wait behind long ones at every target. */
    @Test
    fun `long calls leave a slot of each target to short calls`() {
        val started = (1L..40L).flatMap { id ->
            val upload = CallFixture.request(id, "upload", timeout = Duration.ofMinutes(1))
            harness.arrive(upload).forwarded
        }
        val byTarget = started.groupingBy { it.target.id }.eachCount()
        expectThat(byTarget.values.toList()).hasSize(4).all { isEqualTo(2) }
        expectThat(harness.arrive(CallFixture.request(100)).forwarded).hasSize(1)
    }

    /** Guards against long calls on slots that other instances already use. */
    @Test
    fun `long calls avoid targets that report a single free slot`() {
        (1..3).forEach {
            val report = LoadReport(2, 3, harness.now)
            harness.handle(CallEvent.LoadReported(TargetId("t$it"), report))
        }
        val first = harness.arrive(CallFixture.request(1, "upload")).forwarded.single()
        expectThat(first.target.id).isEqualTo(TargetId("t4"))
    }

    /** Guards against several instances that fill a target with long calls before it reports. */
    @Test
    fun `the long calls of all instances leave a slot of each target to short calls`() {
        val ids = listOf("a", "b", "c").map(::InstanceId)
        val started = ids.flatMap { self ->
            val instance = CallsHarness(CallFixture.state())
            instance.handle(CallEvent.MembersChanged(self, ids.toPersistentSet()))
            (1L..20L).flatMap { id ->
                val upload = CallFixture.request(id, "upload", timeout = Duration.ofMinutes(1))
                instance.arrive(upload).forwarded
            }
        }
        val byTarget = started.groupingBy { it.target.id }.eachCount()
        expectThat(byTarget.values.toList()).hasSize(4).all { isEqualTo(2) }
    }

    /** Guards against long calls that use up the call capacity of an instance. */
    @Test
    fun `the number of long calls, running and queued, is bounded`() {
        val settings = AdmissionSettings()
        (1L..1_000L).forEach { id ->
            val upload = CallFixture.request(id, "upload", timeout = Duration.ofMinutes(9))
            harness.arrive(upload)
        }
        expectThat(harness.state.admission.longCalls.size)
            .isLessThanOrEqualTo(settings.maxLongQueued + 8)
        expectThat(harness.arrive(CallFixture.request(2_000)).forwarded).hasSize(1)
    }

    /** Guards against a limit that stays too high while targets report long queues. */
    @Test
    fun `the limit follows the targets' load reports and shed requests`() {
        val start = ConcurrencyLimit(10.0)
        val now = harness.now
        expectThat(start.observe(LoadReport(3, 3, now), inUse = 10).value).isGreaterThan(10.0)
        expectThat(start.observe(LoadReport(9, 3, now), inUse = 10).value).isLessThan(10.0)
        expectThat(start.observe(LoadReport(9, 3, now), inUse = 1).value).isEqualTo(10.0)
        expectThat((1..1_000).fold(start) { limit, _ -> limit.shed() }.value).isEqualTo(1.0)
    }

    /** Guards against permits that are never released. */
    @Test
    fun `every way in which a call ends releases its permit`() {
        val running = fill()
        harness.handle(CallEvent.CallerGone(CallId(1)))
        harness.fail(2, running[1], AttemptFailure.TimedOut)
        finish(3, running[2])
        harness.answer(4, running[3])
        harness.handle(CallEvent.Truncated(CallId(4), running[3].id))
        expectThat(harness.state.admission.permits.keys).isEmpty()
        expectThat(harness.state.admission.services.values.map { it.short.inUse })
            .single().isEqualTo(0)
    }

    /** Guards against forwarding a queued call whose caller has left. */
    @Test
    fun `a queued call whose caller leaves is not forwarded`() {
        val running = fill()
        harness.arrive(CallFixture.request(100))
        harness.handle(CallEvent.CallerGone(CallId(100)))
        expectThat(finish(1, running.first())).isEmpty()
        expectThat(harness.state.admission.queued).isEmpty()
    }
}
