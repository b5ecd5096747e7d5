package org.wisteriahinge.adapters.caller

import java.time.Duration
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.wisteriahinge.adapters.backend.BackendAnswer
import org.wisteriahinge.core.call.Attempt
import org.wisteriahinge.core.call.AttemptFailure
import org.wisteriahinge.core.call.CallEffect
import org.wisteriahinge.core.call.CallEvent
import org.wisteriahinge.core.model.AttemptId
import org.wisteriahinge.core.model.Execution
import org.wisteriahinge.core.model.LoadReport
import org.wisteriahinge.core.model.Refusal
import org.wisteriahinge.core.model.RefusalReason

/** How the exchange with a caller ended. */
internal sealed interface ExchangeEnd {
    /** The caller is to be told [refusal]. */
    data class Refused(val refusal: Refusal) : ExchangeEnd

    /** The caller got the whole answer, [targetTime] after the request went to the target. */
    data class Delivered(val targetTime: Duration?) : ExchangeEnd

    /** The caller got the retained answer of an earlier copy of its request. */
    data object Retained : ExchangeEnd

    /** Part of an answer was passed on; the caller must not take it for the whole. */
    data object Broken : ExchangeEnd

    /** The caller closed its connection. */
    data object CallerGone : ExchangeEnd
}

/** The name of the outcome in logs and metrics. */
internal fun ExchangeEnd.outcomeName(): String = when (this) {
    is ExchangeEnd.Refused -> refusal.reason.wireName
    is ExchangeEnd.Delivered -> "delivered"
    ExchangeEnd.Retained -> "retained"
    ExchangeEnd.Broken -> "broken"
    ExchangeEnd.CallerGone -> "caller_gone"
}

/**
 * Carries one caller's request from its arrival to its end. Used on the I/O thread only.
 *
 * [onEnd] is called once, when the call needs nothing more.
 */
internal class CallExchange(
    private val forwarded: ForwardedCall,
    private val services: CallerServices,
    private val writer: AnswerWriter,
    private val onEnd: (ExchangeEnd) -> Unit
) : AttemptListener {
    private val request = forwarded.request
    private val gateway = services.gateway
    private val immediateDelivery = ImmediateDelivery()
    private var attempts: PersistentMap<AttemptId, RunningAttempt> = persistentHashMapOf()
    private var delivered: ExchangeEnd? = null
    private var isEnded = false

    /** Announces the call; the effects for it are then performed as they come. */
    fun start(): ArrivalResult = gateway.submit(CallEvent.Arrived(request)) { effect ->
        services.loop.run { perform(effect) }
    }

    private fun perform(effect: CallEffect.ForCall) {
        if (isEnded) return
        when (effect) {
            is CallEffect.Forward -> launchAttempt(effect.attempt)
            is CallEffect.Deliver -> attempts[effect.attemptId]?.deliver()
            is CallEffect.CancelAttempt -> cancel(effect.attemptId)
            is CallEffect.Refuse -> refuse(effect.refusal)
            is CallEffect.Finished -> end(delivered ?: ExchangeEnd.Broken)
            is CallEffect.DeliverRetained ->
                writer.writeRetained(effect.answer) { end(ExchangeEnd.Retained) }
        }
    }

    private fun launchAttempt(attempt: Attempt) {
        val outgoing = forwarded.backendRequest(attempt, services.clock.instant(), services.dialect)
        val isExpired = outgoing.remaining.toMillis() <= 0
        if (isExpired || !immediateDelivery.tryStartAttempt()) {
            return report(attempt, AttemptFailure.NotSent, null)
        }
        val capture = AnswerCapture.of(request, services.answerListener)
        val running = RunningAttempt(attempt, services, writer, capture, this)
        attempts = attempts.put(attempt.id, running)
        running.start(services.backend.send(attempt.target.address, outgoing, running))
    }

    private fun cancel(id: AttemptId) {
        attempts[id]?.abandon()
        attempts = attempts.remove(id)
    }

    private fun refuse(refusal: Refusal) {
        if (writer.isCommitted) {
            writer.abort()
            end(ExchangeEnd.Broken)
        } else {
            writer.refuse(refusal, request.callId) { }
            end(ExchangeEnd.Refused(refusal))
        }
    }

    override fun answered(attempt: RunningAttempt, answer: BackendAnswer, load: LoadReport?) {
        val id = attempt.attempt.id
        val deliverNow = immediateDelivery.tryDeliver(attempt.attempt, answer.status)
        gateway.report(CallEvent.Answered(request.callId, id, answer.status, load))
        if (deliverNow) attempt.deliver()
    }

    override fun failed(attempt: RunningAttempt, failure: AttemptFailure, load: LoadReport?) {
        attempts = attempts.remove(attempt.attempt.id)
        report(attempt.attempt, failure, load)
    }

    private fun report(attempt: Attempt, failure: AttemptFailure, load: LoadReport?) {
        gateway.report(
            CallEvent.AttemptFailed(
                callId = request.callId,
                attemptId = attempt.id,
                failure = failure,
                replayable = forwarded.isReplayable,
                load = load
            )
        )
    }

    override fun delivered(attempt: RunningAttempt, answer: BackendAnswer) {
        if (isEnded) return
        delivered = ExchangeEnd.Delivered(attempt.targetTime)
        gateway.report(CallEvent.Completed(request.callId, attempt.attempt.id))
    }

    override fun truncated(attempt: RunningAttempt) {
        writer.abort()
        if (!isEnded) gateway.report(CallEvent.Truncated(request.callId, attempt.attempt.id))
    }

    /** The caller has room for more of the answer. */
    fun callerWritable() {
        attempts.values.forEach { it.callerWritable() }
    }

    /** The caller closed its connection. */
    fun callerGone() {
        if (isEnded) return
        gateway.report(CallEvent.CallerGone(request.callId))
        end(delivered ?: ExchangeEnd.CallerGone)
    }

    /** The caller did not send the body as announced. */
    fun bodyRejected(reason: RefusalReason) {
        if (isEnded) return
        gateway.report(CallEvent.CallerGone(request.callId))
        refuse(Refusal(reason, Execution.MayHaveRun))
    }

    private fun end(result: ExchangeEnd) {
        if (isEnded) return
        isEnded = true
        attempts.values.forEach { it.abandon() }
        attempts = persistentHashMapOf()
        onEnd(result)
    }
}
