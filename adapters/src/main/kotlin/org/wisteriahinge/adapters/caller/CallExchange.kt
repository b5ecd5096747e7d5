package org.wisteriahinge.adapters.caller

import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.server.application.ApplicationCall
import java.time.Duration
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import org.wisteriahinge.adapters.backend.AttemptFailedException
import org.wisteriahinge.adapters.backend.BackendAnswer
import org.wisteriahinge.adapters.backend.BodyFaultException
import org.wisteriahinge.core.call.Attempt
import org.wisteriahinge.core.call.AttemptFailure
import org.wisteriahinge.core.call.CallEffect
import org.wisteriahinge.core.call.CallEvent
import org.wisteriahinge.core.model.AttemptId
import org.wisteriahinge.core.model.Execution
import org.wisteriahinge.core.model.LoadReport
import org.wisteriahinge.core.model.Refusal

private val logger = KotlinLogging.logger {}

/** How the exchange with a caller ended. */
internal sealed interface ExchangeEnd {
    /** The caller is to be told [refusal]. */
    data class Refused(val refusal: Refusal) : ExchangeEnd

    /** The caller got the whole answer, [targetTime] after the request went to the target. */
    data class Delivered(val targetTime: Duration) : ExchangeEnd

    /** The caller got the retained answer of an earlier copy of its request. */
    data object Retained : ExchangeEnd

    /** Part of an answer was passed on; the caller must not take it for the whole. */
    data object Broken : ExchangeEnd
}

/** The name of the outcome in logs and metrics. */
internal fun ExchangeEnd.describe(): String = when (this) {
    is ExchangeEnd.Refused -> refusal.reason.wireName
    is ExchangeEnd.Delivered -> "delivered"
    ExchangeEnd.Retained -> "retained"
    ExchangeEnd.Broken -> "broken"
}

/** An answer that was passed on, and the time from sending the request to its head. */
private class Delivery(val end: DeliveryEnd, val targetTime: Duration)

/** An attempt that was started; [chosen] completes when its answer is to be delivered. */
private class RunningAttempt(val job: Job, val chosen: CompletableDeferred<Unit>)

/** Carries one caller's request from its arrival to its end. */
internal class CallExchange(
    private val call: ApplicationCall,
    private val forwarded: ForwardedCall,
    private val services: ExchangeServices
) {
    private val request = forwarded.request
    private val gateway = services.gateway
    private val choice = DeliveryChoice()

    // The decisions on one call issue a bounded number of effects; the channel never refuses one.
    private val effects = Channel<CallEffect.ForCall>(Channel.UNLIMITED)

    /** Takes an effect over; called on the thread of the `calls` duty. */
    fun accept(effect: CallEffect.ForCall) {
        effects.trySend(effect)
    }

    /** Performs the effects of the call until it ends. */
    suspend fun run(): ExchangeEnd = try {
        coroutineScope {
            val end = follow()
            coroutineContext.job.cancelChildren()
            end
        }
    } catch (e: BodyFaultException) {
        gateway.report(CallEvent.CallerGone(request.callId))
        ExchangeEnd.Refused(Refusal(e.reason, Execution.MayHaveRun))
    } catch (e: Throwable) {
        gateway.report(CallEvent.CallerGone(request.callId))
        throw e
    }

    private suspend fun CoroutineScope.follow(): ExchangeEnd {
        val delivery = CompletableDeferred<Delivery>()
        var running = persistentHashMapOf<AttemptId, RunningAttempt>()
        while (true) {
            when (val effect = effects.receive()) {
                is CallEffect.Forward -> running = running.start(this, effect.attempt, delivery)
                is CallEffect.Deliver -> running[effect.attemptId]?.chosen?.complete(Unit)
                is CallEffect.CancelAttempt -> running[effect.attemptId]?.job?.cancel()
                is CallEffect.Refuse -> return refused(effect.refusal)
                is CallEffect.Finished -> return ended(delivery)
                is CallEffect.DeliverRetained -> {
                    call.respondRetained(effect.answer)
                    return ExchangeEnd.Retained
                }
            }
        }
    }

    private fun refused(refusal: Refusal): ExchangeEnd =
        if (call.response.isCommitted) ExchangeEnd.Broken else ExchangeEnd.Refused(refusal)

    private suspend fun ended(delivery: CompletableDeferred<Delivery>): ExchangeEnd {
        if (!delivery.isCompleted) return ExchangeEnd.Broken
        val delivered = delivery.await()
        return when (delivered.end) {
            DeliveryEnd.Complete -> ExchangeEnd.Delivered(delivered.targetTime)
            DeliveryEnd.Truncated, DeliveryEnd.CallerGone -> ExchangeEnd.Broken
        }
    }

    private fun PersistentMap<AttemptId, RunningAttempt>.start(
        scope: CoroutineScope,
        attempt: Attempt,
        delivery: CompletableDeferred<Delivery>
    ): PersistentMap<AttemptId, RunningAttempt> {
        if (!choice.attemptStarts()) {
            fail(attempt, AttemptFailure.NotSent)
            return this
        }
        val chosen = CompletableDeferred<Unit>()
        val job = scope.launch { run(attempt, chosen, delivery) }
        return put(attempt.id, RunningAttempt(job, chosen))
    }

    private suspend fun run(
        attempt: Attempt,
        chosen: CompletableDeferred<Unit>,
        delivery: CompletableDeferred<Delivery>
    ) {
        val dialect = services.dialect
        val outgoing = forwarded.toTarget(attempt, services.clock.instant(), dialect)
        if (outgoing.remaining.toMillis() <= 0) return fail(attempt, AttemptFailure.NotSent)
        val sentNanos = System.nanoTime()
        try {
            services.backend.send(attempt.target.address, outgoing) { answer ->
                val targetTime = Duration.ofNanos(System.nanoTime() - sentNanos)
                val load = dialect.loadReport(answer, services.clock.instant())
                when (val verdict = dialect.judge(answer)) {
                    is AnswerVerdict.Failed -> return@send fail(attempt, verdict.failure, load)
                    AnswerVerdict.Usable -> Unit
                }
                val atOnce = choice.deliversAtOnce(attempt, answer.status)
                gateway.report(
                    CallEvent.Answered(request.callId, attempt.id, answer.status, load)
                )
                if (!atOnce) chosen.await()
                val end = deliver(answer)
                delivery.complete(Delivery(end, targetTime))
                gateway.report(eventOf(end, attempt))
            }
        } catch (e: AttemptFailedException) {
            fail(attempt, e.failure)
        } catch (e: CancellationException) {
            throw e
        } catch (e: RuntimeException) {
            logger.error(e) { "attempt ${attempt.id} of call ${request.callId} failed" }
            fail(attempt, AttemptFailure.Disconnected)
        }
    }

    private suspend fun deliver(answer: BackendAnswer): DeliveryEnd {
        val capture = AnswerCapture.of(request, services.answerListener)
        val end = deliver(call, answer, services, capture)
        if (end == DeliveryEnd.Complete) capture.complete(answer, services.rules)
        return end
    }

    private fun eventOf(end: DeliveryEnd, attempt: Attempt): CallEvent = when (end) {
        DeliveryEnd.Complete -> CallEvent.Completed(request.callId, attempt.id)
        DeliveryEnd.Truncated -> CallEvent.Truncated(request.callId, attempt.id)
        DeliveryEnd.CallerGone -> CallEvent.CallerGone(request.callId)
    }

    private fun fail(attempt: Attempt, failure: AttemptFailure, load: LoadReport? = null) {
        val event = CallEvent.AttemptFailed(
            callId = request.callId,
            attemptId = attempt.id,
            failure = failure,
            replayable = forwarded.isReplayable,
            load = load
        )
        gateway.report(event)
    }
}
