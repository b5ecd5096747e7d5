package org.wisteriahinge.core.call

import java.time.Duration
import org.junit.jupiter.api.Test
import org.wisteriahinge.core.model.Execution
import org.wisteriahinge.core.model.RefusalReason
import org.wisteriahinge.core.retry.Hedging
import org.wisteriahinge.core.retry.RetryDenial
import org.wisteriahinge.core.retry.RetryReason
import org.wisteriahinge.core.retry.RetrySettings
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.isTrue
import strikt.assertions.single

class RetryTest {
    private val harness = CallsHarness(CallFixture.state())

    /** Guards against failing a non-repeatable operation that a draining target did not run. */
    @Test
    fun `any operation is retried at another target if it certainly did not run`() {
        val first = harness.arrive(CallFixture.request(1, "book")).forwarded.single()
        val second = harness.fail(1, first, AttemptFailure.TargetDraining).forwarded.single()
        expectThat(second.target).isNotEqualTo(first.target)
        expectThat(second.noRetry).isTrue()
        expectThat(harness.counters)
            .contains(CallCounter.Retried(CallFixture.service, RetryReason.TargetDraining))
    }

    /** Guards against running a non-repeatable operation twice after its answer was lost. */
    @Test
    fun `a non-repeatable operation is not retried after an unknown outcome`() {
        val first = harness.arrive(CallFixture.request(1, "book")).forwarded.single()
        harness.fail(1, first, AttemptFailure.Disconnected)
        expectThat(harness.forwarded).isEmpty()
        expectThat(harness.refusals).single()
            .get { execution }.isEqualTo(Execution.MayHaveRun)
        expectThat(harness.counters)
            .contains(CallCounter.RetryDenied(CallFixture.service, RetryDenial.NotRepeatable))
    }

    /** Guards against delivering a server error that another target would not give. */
    @Test
    fun `a server error is retried for a repeatable operation and delivered otherwise`() {
        val lookup = harness.arrive(CallFixture.request(1)).forwarded.single()
        harness.answer(1, lookup, status = 503)
        expectThat(harness.forwarded).hasSize(1)
        expectThat(harness.effects.filterIsInstance<CallEffect.Deliver>()).isEmpty()
        val booking = harness.arrive(CallFixture.request(2, "book")).forwarded.single()
        harness.answer(2, booking, status = 503)
        expectThat(harness.effects.filterIsInstance<CallEffect.Deliver>()).hasSize(1)
    }

    /** Guards against telling a caller `not_run` when an earlier attempt may have run. */
    @Test
    fun `a call stays possibly run when later attempts certainly did not run`() {
        val first = harness.arrive(CallFixture.request(1)).forwarded.single()
        val second = harness.fail(1, first, AttemptFailure.Disconnected).forwarded.single()
        val third = harness.fail(1, second, AttemptFailure.Shed).forwarded.single()
        harness.fail(1, third, AttemptFailure.ConnectFailed)
        expectThat(harness.refusals).single()
            .get { execution }.isEqualTo(Execution.MayHaveRun)
    }

    /** Guards against callers that look up the outcome of a request that no target accepted. */
    @Test
    fun `a refusal after attempts that all did not run states not run`() {
        val first = harness.arrive(CallFixture.request(1, "book")).forwarded.single()
        val second = harness.fail(1, first, AttemptFailure.Shed).forwarded.single()
        val third = harness.fail(1, second, AttemptFailure.ConnectFailed).forwarded.single()
        harness.fail(1, third, AttemptFailure.NotSent)
        expectThat(harness.refusals).single().and {
            get { reason }.isEqualTo(RefusalReason.NoTarget)
            get { execution }.isEqualTo(Execution.NotRun)
        }
    }

    /** Guards against sending an incomplete body that the front end no longer holds. */
    @Test
    fun `a request whose body cannot be replayed is not retried`() {
        val first = harness.arrive(CallFixture.request(1)).forwarded.single()
        harness.fail(1, first, AttemptFailure.Disconnected, replayable = false)
        expectThat(harness.counters)
            .contains(CallCounter.RetryDenied(CallFixture.service, RetryDenial.NotReplayable))
    }

    /** Guards against retries that multiply over the layers of nested calls. */
    @Test
    fun `a request with the no-retry header is not retried and forwards the header`() {
        val request = CallFixture.request(1).copy(retriesAllowed = false)
        val first = harness.arrive(request).forwarded.single()
        expectThat(first.noRetry).isTrue()
        harness.fail(1, first, AttemptFailure.Shed)
        expectThat(harness.counters)
            .contains(CallCounter.RetryDenied(CallFixture.service, RetryDenial.OuterLayerRetries))
    }

    /** Guards against a retry storm when every target fails. */
    @Test
    fun `retries stay within their ratio to calls`() {
        val settings = RetrySettings()
        val calls = 2_000L
        val attempts = (1..calls).sumOf { id ->
            harness.arrive(CallFixture.request(id))
            generateSequence(harness.forwarded.singleOrNull()) { attempt ->
                harness.fail(id, attempt, AttemptFailure.ConnectFailed).forwarded.singleOrNull()
            }.count()
        }
        val bound = calls * (1 + settings.retryRatio) + settings.burst
        expectThat(attempts.toDouble()).isLessThanOrEqualTo(bound)
        expectThat(harness.state.calls.isEmpty()).isTrue()
    }

    /** Guards against a late event of an attempt that was replaced. */
    @Test
    fun `events of an ended attempt change nothing`() {
        val first = harness.arrive(CallFixture.request(1)).forwarded.single()
        val second = harness.fail(1, first, AttemptFailure.Shed).forwarded.single()
        harness.answer(1, first)
        expectThat(harness.effects).isEmpty()
        harness.answer(1, second)
        expectThat(harness.effects.filterIsInstance<CallEffect.Deliver>())
            .single().get { attemptId }.isEqualTo(second.id)
    }

    private fun hedging(): CallsHarness {
        val settings = RetrySettings(hedging = Hedging.AfterQuantile(0.95))
        val hedged = CallsHarness(CallFixture.state(retries = settings))
        (1L..100L).forEach { id ->
            val attempt = hedged.arrive(CallFixture.request(id)).forwarded.single()
            hedged.now += Duration.ofMillis(10)
            hedged.answer(id, attempt)
            hedged.complete(id, attempt)
        }
        return hedged
    }

    /** Guards against waiting for one slow target, and against leaving its attempt running. */
    @Test
    fun `a slow repeatable call is hedged once and the slower attempt is cancelled`() {
        val hedged = hedging()
        val request = CallFixture.request(200, arrivedAt = hedged.now)
        val first = hedged.arrive(request).forwarded.single()
        hedged.now += Duration.ofMillis(30)
        val second = hedged.handle(CallEvent.Ticked).forwarded.single()
        expectThat(second.target).isNotEqualTo(first.target)
        expectThat(hedged.handle(CallEvent.Ticked).forwarded).isEmpty()
        hedged.answer(200, second)
        expectThat(hedged.effects.filterIsInstance<CallEffect.CancelAttempt>())
            .single().get { attemptId }.isEqualTo(first.id)
        expectThat(hedged.counters).contains(CallCounter.HedgeWon(CallFixture.service))
        hedged.complete(200, second)
        expectThat(hedged.state.routing.targets.values.sumOf { it.inFlight }).isEqualTo(0)
    }

    /** Guards against hedges that take capacity from queued calls during a peak. */
    @Test
    fun `a slow call is not hedged while other calls are queued`() {
        val hedged = hedging()
        while (hedged.state.admission.queued.isEmpty()) {
            val id = 200L + hedged.state.calls.size
            hedged.arrive(CallFixture.request(id, arrivedAt = hedged.now))
        }
        hedged.now += Duration.ofMillis(30)
        expectThat(hedged.handle(CallEvent.Ticked).forwarded).isEmpty()
        expectThat(hedged.counters)
            .contains(CallCounter.HedgeDenied(CallFixture.service, RetryDenial.CallsWaiting))
    }

    /** Guards against running non-repeatable or long operations in two attempts at once. */
    @Test
    fun `non-repeatable and long operations are not hedged`() {
        val hedged = hedging()
        hedged.arrive(CallFixture.request(200, "book", arrivedAt = hedged.now))
        hedged.arrive(CallFixture.request(201, "upload", arrivedAt = hedged.now))
        hedged.now += Duration.ofMillis(500)
        expectThat(hedged.handle(CallEvent.Ticked).forwarded).isEmpty()
    }

    /** Guards against refusing a call while its other attempt is still in progress. */
    @Test
    fun `a call goes on with its hedge when the first attempt fails`() {
        val hedged = hedging()
        val first = hedged.arrive(CallFixture.request(200, arrivedAt = hedged.now))
            .forwarded.single()
        hedged.now += Duration.ofMillis(30)
        val second = hedged.handle(CallEvent.Ticked).forwarded.single()
        hedged.fail(200, first, AttemptFailure.Disconnected)
        expectThat(hedged.refusals).isEmpty()
        hedged.answer(200, second)
        expectThat(hedged.effects.filterIsInstance<CallEffect.Deliver>()).hasSize(1)
        expectThat(first.noRetry).isFalse()
        expectThat(listOf(first.number, second.number)).containsExactly(1, 2)
    }
}
