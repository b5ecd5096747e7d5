package org.wisteriahinge.adapters.caller

import java.time.Duration
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.wisteriahinge.adapters.backend.BackendAnswer
import org.wisteriahinge.adapters.backend.BackendClient
import org.wisteriahinge.core.call.Attempt
import org.wisteriahinge.core.call.AttemptFailure
import org.wisteriahinge.core.call.CallEffect
import org.wisteriahinge.core.call.CallEvent
import org.wisteriahinge.core.handover.AttemptPath
import org.wisteriahinge.core.model.AttemptId
import org.wisteriahinge.core.model.Execution
import org.wisteriahinge.core.model.Refusal
import org.wisteriahinge.core.model.RefusalReason

/** How the exchange with a caller ended, as reported to [CallObserver]. */
internal sealed interface ExchangeEnd {
    /** The caller was answered with [refusal]. */
    data class Refused(val refusal: Refusal) : ExchangeEnd

    /** The caller got the whole answer; its head came [targetTime] after the request was sent. */
    data class Delivered(val targetTime: Duration?) : ExchangeEnd

    /** The caller got the answer retained for an earlier request with the same key. */
    data object Retained : ExchangeEnd

    /** The connection was closed after only a part of the answer was written. */
    data object Broken : ExchangeEnd

    /** The caller closed its connection. */
    data object CallerGone : ExchangeEnd
}

/** The name of the outcome in the log. */
internal fun ExchangeEnd.outcomeName(): String = when (this) {
    is ExchangeEnd.Refused -> refusal.reason.wireName
    is ExchangeEnd.Delivered -> "delivered"
    ExchangeEnd.Retained -> "retained"
    ExchangeEnd.Broken -> "broken"
    ExchangeEnd.CallerGone -> "caller_gone"
}

/**
 * Performs the effects that the `calls` duty decides on for one call: starts and cancels its
 * attempts and writes its answer. Used on the I/O thread only.
 *
 * [onEnd] is called once, when the exchange has ended.
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

    /** Submits the call to the `calls` duty, whose effects are then performed on the I/O thread. */
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
        val isExpired = outgoing.remaining.toMillis() <= 0 ||
            outgoing.maxSendDelay?.isNegative == true
        if (isExpired || !immediateDelivery.tryStartAttempt()) {
            return report(attempt, AttemptFailure.NotSent, TargetReport())
        }
        val capture = AnswerCapture.of(request, services.answerListener)
        val running = RunningAttempt(attempt, services, writer, capture, this)
        attempts = attempts.put(attempt.id, running)
        running.start(clientFor(attempt).send(attempt.target.address, outgoing, running))
    }

    private fun clientFor(attempt: Attempt): BackendClient = when (attempt.path) {
        AttemptPath.Direct -> services.backend
        is AttemptPath.ThroughInstance -> services.peers
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

    override fun answered(attempt: RunningAttempt, answer: BackendAnswer, report: TargetReport) {
        val id = attempt.attempt.id
        val deliverNow = immediateDelivery.tryDeliver(attempt.attempt, answer.status)
        gateway.report(
            CallEvent.Answered(
                request.callId,
                id,
                answer.status,
                report.load,
                report.statement
            )
        )
        if (deliverNow) attempt.deliver()
    }

    override fun failed(attempt: RunningAttempt, failure: AttemptFailure, report: TargetReport) {
        attempts = attempts.remove(attempt.attempt.id)
        report(attempt.attempt, failure, report)
    }

    private fun report(attempt: Attempt, failure: AttemptFailure, report: TargetReport) {
        gateway.report(
            CallEvent.AttemptFailed(
                callId = request.callId,
                attemptId = attempt.id,
                failure = failure,
                replayable = forwarded.isReplayable,
                load = report.load,
                statement = report.statement
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

    /** Resumes streaming after the caller's connection became writable. */
    fun callerWritable() {
        attempts.values.forEach { it.callerWritable() }
    }

    /** Ends the exchange after the caller closed its connection. */
    fun callerGone() {
        if (isEnded) return
        gateway.report(CallEvent.CallerGone(request.callId))
        end(delivered ?: ExchangeEnd.CallerGone)
    }

    /** Ends the exchange because the request body, already partly forwarded, was rejected. */
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
