package org.wisteriahinge.adapters.caller

import java.time.Instant
import org.wisteriahinge.adapters.AnswerValidation
import org.wisteriahinge.adapters.LoadFormat
import org.wisteriahinge.adapters.NotRunFormat
import org.wisteriahinge.adapters.WireDialect
import org.wisteriahinge.adapters.backend.BackendAnswer
import org.wisteriahinge.adapters.handover.HandoverHeaders
import org.wisteriahinge.adapters.handover.decodeRefusal
import org.wisteriahinge.core.call.AttemptFailure
import org.wisteriahinge.core.handover.AttemptPath
import org.wisteriahinge.core.model.LoadReport

private const val UNAVAILABLE = 503
private val SUCCESS = 200..299

/** Whether an answer counts as the result of its attempt. */
internal sealed interface AnswerVerdict {
    /** The target ran the request and this is its answer. */
    data object Usable : AnswerVerdict

    /** The attempt failed with [failure], in spite of the answer. */
    data class Failed(val failure: AttemptFailure) : AnswerVerdict
}

/**
 * Classifies [answer], which came by [path], by the status and headers that this dialect assigns a
 * meaning to.
 */
internal fun WireDialect.classify(
    answer: BackendAnswer,
    path: AttemptPath = AttemptPath.Direct
): AnswerVerdict {
    val failure = handoverFailure(answer, path) ?: notRunFailure(answer)
        ?: validationFailure(answer)
    return failure?.let { AnswerVerdict.Failed(it) } ?: AnswerVerdict.Usable
}

/** The failure when another instance refused the request itself; null otherwise. */
private fun handoverFailure(answer: BackendAnswer, path: AttemptPath): AttemptFailure? =
    when (path) {
        AttemptPath.Direct -> null
        is AttemptPath.ThroughInstance ->
            answer.header(HandoverHeaders.REFUSAL)?.let(::decodeRefusal)
    }

/** The failure when the target states that it did not run the request; null otherwise. */
private fun WireDialect.notRunFailure(answer: BackendAnswer): AttemptFailure? =
    when (val format = notRun) {
        is NotRunFormat.ReasonHeader ->
            answer.header(format.header)?.takeIf { answer.status == UNAVAILABLE }?.let { reason ->
                if (reason == format.drainingReason) {
                    AttemptFailure.TargetDraining
                } else {
                    AttemptFailure.Shed
                }
            }
        is NotRunFormat.MarkerHeader -> when {
            answer.status == format.wrongTargetStatus -> AttemptFailure.WrongTarget
            answer.header(format.header) != null -> AttemptFailure.Shed
            else -> null
        }
    }

/** The failure when the answer does not prove that it belongs to this request; null otherwise. */
private fun WireDialect.validationFailure(answer: BackendAnswer): AttemptFailure? =
    when (val expected = answerValidation) {
        AnswerValidation.None -> null
        is AnswerValidation.Echoed ->
            AttemptFailure.InvalidAnswer.takeUnless { expected.accepts(answer) }
    }

private fun AnswerValidation.Echoed.accepts(answer: BackendAnswer): Boolean = when {
    answer.header("Content-Encoding") != null -> false
    answer.status in SUCCESS ->
        answer.header(stampHeader) != null && answer.header(requestIdHeader) != null
    else -> answer.status !in notRunStatuses
}

/** The load report in [answer], observed at [now]; null when it has none or it is malformed. */
public fun WireDialect.loadReport(answer: BackendAnswer, now: Instant): LoadReport? {
    val text = answer.header(load.header) ?: return null
    return when (load) {
        is LoadFormat.SlashSeparated -> parseSlashSeparated(text, now)
        is LoadFormat.CommaSeparated -> parseCommaSeparated(text, now)
    }
}

private fun parseSlashSeparated(text: String, now: Instant): LoadReport? {
    val parts = text.split('/')
    val inFlight = parts.getOrNull(0)?.toIntOrNull() ?: return null
    val slots = parts.getOrNull(1)?.toIntOrNull() ?: return null
    return LoadReport(inFlight, slots, now)
}

private fun parseCommaSeparated(text: String, now: Instant): LoadReport? {
    val parts = text.split(',').map { it.trim().toIntOrNull() }
    val running = parts.getOrNull(0) ?: return null
    val waiting = parts.getOrNull(1) ?: return null
    val slots = parts.getOrNull(2) ?: return null
    return LoadReport(running + waiting, slots, now, pacePercent = parts.getOrNull(3))
}
