package org.wisteriahinge.adapters.caller

import java.time.Duration
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit
import org.wisteriahinge.adapters.backend.AnswerBody
import org.wisteriahinge.adapters.backend.AnswerObserver
import org.wisteriahinge.adapters.backend.BackendAnswer
import org.wisteriahinge.adapters.backend.BackendExchange
import org.wisteriahinge.core.call.Attempt
import org.wisteriahinge.core.call.AttemptFailure
import org.wisteriahinge.core.model.LoadReport
import org.wisteriahinge.core.model.TargetStatement

/** What an answer says of its target; empty if there was no answer. */
internal data class TargetReport(
    val load: LoadReport? = null,
    val statement: TargetStatement? = null
)

/** Is notified of the progress of a [RunningAttempt]. */
internal interface AttemptListener {
    /** The head of a usable answer arrived; [RunningAttempt.deliver] starts its delivery. */
    fun answered(attempt: RunningAttempt, answer: BackendAnswer, report: TargetReport)

    fun failed(attempt: RunningAttempt, failure: AttemptFailure, report: TargetReport)

    /** The whole answer was written to the caller. */
    fun delivered(attempt: RunningAttempt, answer: BackendAnswer)

    /** The target's answer ended early after part of it was written to the caller. */
    fun truncated(attempt: RunningAttempt)
}

/** One attempt at a target, and the delivery of its answer. Used on the I/O thread only. */
internal class RunningAttempt(
    val attempt: Attempt,
    private val services: CallerServices,
    private val writer: AnswerWriter,
    private val capture: AnswerCapture,
    private val listener: AttemptListener
) : AnswerObserver {
    private val sentNanos = System.nanoTime()
    private var exchange: BackendExchange? = null
    private var pendingAnswer: BackendAnswer? = null
    private var streaming: AnswerBody.Streamed? = null
    private var isDelivering = false
    private var stallTimer: Future<*>? = null

    /** Time from sending the request to the head of its answer; null before that. */
    var targetTime: Duration? = null
        private set

    fun start(exchange: BackendExchange) {
        this.exchange = exchange
    }

    override fun answered(answer: BackendAnswer) {
        targetTime = Duration.ofNanos(System.nanoTime() - sentNanos)
        val load = services.dialect.loadReport(answer, services.clock.instant())
        when (val verdict = services.dialect.classify(answer, attempt.path)) {
            is AnswerVerdict.Failed -> {
                abandon()
                val statement = services.dialect.statement.read(answer)
                    ?.takeIf { verdict.failure.isAnswerOfTarget() }
                listener.failed(this, verdict.failure, TargetReport(load, statement))
            }
            AnswerVerdict.Usable -> {
                pendingAnswer = answer
                val statement = services.dialect.statement.read(answer)
                listener.answered(this, answer, TargetReport(load, statement))
            }
        }
    }

    override fun failed(failure: AttemptFailure, detail: String) {
        listener.failed(this, failure, TargetReport())
    }

    /** Starts to write the answer to the caller; later calls have no effect. */
    fun deliver() {
        val answer = pendingAnswer ?: return
        if (isDelivering) return
        isDelivering = true
        when (val body = answer.body) {
            is AnswerBody.Absent -> writer.writeBodiless(answer, body) { delivered(answer) }
            is AnswerBody.Whole -> {
                capture.append(body.bytes)
                writer.writeWhole(answer, body) { delivered(answer) }
            }
            is AnswerBody.Streamed -> {
                streaming = body
                writer.writeHead(answer, body.lengthBytes)
                restartStallTimer()
                body.flow.resume()
            }
        }
    }

    // Called for failed writes too: the caller's connection reports its disconnection itself.
    private fun delivered(answer: BackendAnswer) {
        capture.complete(answer, services.rules)
        listener.delivered(this, answer)
    }

    override fun received(piece: ByteArray) {
        restartStallTimer()
        writer.writePiece(piece)
        capture.append(piece)
        if (!writer.isWritable) streaming?.flow?.pause()
    }

    /** Resumes streaming after the caller's connection became writable. */
    fun callerWritable() {
        streaming?.flow?.resume()
    }

    override fun completed() {
        stallTimer?.cancel(false)
        streaming = null
        val answer = pendingAnswer ?: return
        writer.writeEnd { delivered(answer) }
    }

    override fun truncated(detail: String) {
        stallTimer?.cancel(false)
        streaming = null
        listener.truncated(this)
    }

    private fun restartStallTimer() {
        stallTimer?.cancel(false)
        stallTimer = services.loop.executor.schedule(
            ::onStall,
            services.settings.answerStallTimeout.toMillis(),
            TimeUnit.MILLISECONDS
        )
    }

    private fun onStall() {
        if (streaming == null) return
        abandon()
        truncated("no progress for ${services.settings.answerStallTimeout.toMillis()} ms")
    }

    /** Ends the attempt; closes its connection unless the answer was read to its end. */
    fun abandon() {
        stallTimer?.cancel(false)
        streaming = null
        exchange?.abandon()
    }
}

/** Whether the answer behind this failure came from the target that was meant. */
private fun AttemptFailure.isAnswerOfTarget(): Boolean = when (this) {
    AttemptFailure.WrongTarget,
    AttemptFailure.InvalidAnswer,
    AttemptFailure.HandoverDeclined,
    AttemptFailure.HandoverFailed -> false
    AttemptFailure.ConnectFailed,
    AttemptFailure.Shed,
    AttemptFailure.TargetDraining,
    AttemptFailure.NotSent,
    AttemptFailure.Disconnected,
    AttemptFailure.Truncated,
    AttemptFailure.TimedOut -> true
}
