package org.wisteriahinge.adapters.quota

import java.time.Duration
import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.SerializationException
import org.wisteriahinge.adapters.backend.AnswerBody
import org.wisteriahinge.adapters.backend.AnswerObserver
import org.wisteriahinge.adapters.backend.BackendAnswer
import org.wisteriahinge.adapters.backend.BackendClient
import org.wisteriahinge.adapters.backend.BackendRequest
import org.wisteriahinge.adapters.backend.HeaderField
import org.wisteriahinge.adapters.backend.RequestBody
import org.wisteriahinge.core.call.AttemptFailure
import org.wisteriahinge.core.call.CallEvent
import org.wisteriahinge.core.quota.QuotaQuestion
import org.wisteriahinge.core.quota.RelayFailure

/** Time within which a relay answers; shorter than the time that a connection may take. */
private val ANSWER_TIMEOUT: Duration = Duration.ofMillis(120)

private const val OK = 200
private val HEADERS = persistentListOf(HeaderField("Content-Type", "application/cbor"))

/** Sends questions for tokens to relays. [report] gets the outcome and must not block. */
public class QuotaAsker(
    private val client: BackendClient,
    private val report: (CallEvent) -> Unit
) {
    /** Sends [question] and returns at once. Tokens that a lost answer granted are not used. */
    public fun ask(question: QuotaQuestion) {
        val request = BackendRequest(
            method = "POST",
            pathAndQuery = QUOTA_PATH,
            headers = HEADERS,
            body = RequestBody.Buffered(encodeWants(question.wants)),
            remaining = ANSWER_TIMEOUT,
            retryOnStaleConnection = true
        )
        client.send(question.relay, request, Reply(question))
    }

    private inner class Reply(private val question: QuotaQuestion) : AnswerObserver {
        override fun answered(answer: BackendAnswer) {
            (answer.body as? AnswerBody.Streamed)?.flow?.discard()
            val body = (answer.body as? AnswerBody.Whole)?.bytes
            if (answer.status != OK || body == null) return unanswered(RelayFailure.Silent)
            try {
                val grants = decodeGrants(body)
                report(CallEvent.QuotaAnswered(question.relay, question.askedAt, grants))
            } catch (_: SerializationException) {
                unanswered(RelayFailure.Silent)
            }
        }

        override fun failed(failure: AttemptFailure, detail: String) =
            unanswered(failure.relayFailure())

        private fun unanswered(failure: RelayFailure) =
            report(CallEvent.QuotaUnanswered(question.relay, question.askedAt, failure))

        override fun received(piece: ByteArray) = Unit

        override fun completed() = Unit

        override fun truncated(detail: String) = Unit
    }
}

/** A connection that cannot be made within [ANSWER_TIMEOUT] is reported as timed out. */
private fun AttemptFailure.relayFailure(): RelayFailure = when (this) {
    AttemptFailure.ConnectFailed -> RelayFailure.Refused
    AttemptFailure.Shed,
    AttemptFailure.TargetDraining,
    AttemptFailure.WrongTarget,
    AttemptFailure.NotSent,
    AttemptFailure.Disconnected,
    AttemptFailure.Truncated,
    AttemptFailure.TimedOut,
    AttemptFailure.HandoverDeclined,
    AttemptFailure.HandoverFailed,
    AttemptFailure.InvalidAnswer -> RelayFailure.Silent
}
