package org.wisteriahinge.adapters.caller

import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.PersistentList
import org.wisteriahinge.adapters.RetryContext
import org.wisteriahinge.adapters.WireDialect
import org.wisteriahinge.adapters.WireHeaders
import org.wisteriahinge.adapters.backend.AnswerOwnership
import org.wisteriahinge.adapters.backend.BackendRequest
import org.wisteriahinge.adapters.backend.HeaderField
import org.wisteriahinge.adapters.backend.RequestBody
import org.wisteriahinge.adapters.handover.HandoverHeaders
import org.wisteriahinge.adapters.handover.PresentedHandover
import org.wisteriahinge.adapters.handover.encodeHandover
import org.wisteriahinge.core.call.Attempt
import org.wisteriahinge.core.call.CallRequest
import org.wisteriahinge.core.handover.AttemptPath

/**
 * A caller's request together with its headers and body, which the `calls` duty does not need.
 *
 * [ownership] tells the answer from those to other requests.
 */
internal class ForwardedCall(
    val request: CallRequest,
    private val headers: PersistentList<HeaderField>,
    private val rules: HeaderRules,
    private val body: RequestBody,
    private val ownership: AnswerOwnership
) {
    /** Whether another attempt can still send the body. */
    val isReplayable: Boolean
        get() = when (body) {
            RequestBody.None, is RequestBody.Buffered -> true
            is RequestBody.Streamed -> !body.isConsumed
        }

    /** The request that [attempt] sends at [now] to a target that uses [dialect]. */
    fun backendRequest(attempt: Attempt, now: Instant, dialect: WireDialect): BackendRequest {
        val remaining = Duration.between(now, attempt.deadline)
        val generatedHeaders = listOfNotNull(
            HeaderField(dialect.timeoutHeader, remaining.toMillis().toString()),
            attempt.destinationHeader(dialect)
        )
        return BackendRequest(
            method = request.method,
            pathAndQuery = request.path,
            headers = rules.identified(headers, attempt.identity).addAll(generatedHeaders)
                .addAll(retryContextHeaders(attempt, dialect)),
            body = body,
            remaining = remaining,
            ownership = ownership,
            host = request.host?.takeIf { dialect.forwardsHost },
            isRepeatable = attempt.isRepeatable,
            maxSendDelay = attempt.sendBy?.let { Duration.between(now, it) }
        )
    }

    /** Names the target, or tells the other instance what was decided on the call. */
    private fun Attempt.destinationHeader(dialect: WireDialect): HeaderField? =
        when (val way = path) {
            AttemptPath.Direct ->
                dialect.expectedTargetHeader?.let { HeaderField(it, target.id.value) }
            is AttemptPath.ThroughInstance -> {
                val handover = PresentedHandover(way.peer.token, way.call)
                HeaderField(HandoverHeaders.CALL, encodeHandover(handover))
            }
        }

    private fun retryContextHeaders(attempt: Attempt, dialect: WireDialect): List<HeaderField> =
        when (dialect.retryContext) {
            RetryContext.Omitted -> emptyList()
            RetryContext.Propagated -> listOfNotNull(
                HeaderField(WireHeaders.DEPTH, (request.depth + 1).toString()),
                HeaderField(WireHeaders.ATTEMPT, attempt.number.toString()),
                HeaderField(WireHeaders.NO_RETRY, "1").takeIf { attempt.noRetry },
                request.idempotencyKey?.let {
                    HeaderField(WireHeaders.IDEMPOTENCY_KEY, it.value)
                }
            )
        }
}
