package org.wisteriahinge.adapters.caller

import java.time.Clock
import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import org.wisteriahinge.adapters.WireHeaders
import org.wisteriahinge.adapters.backend.BackendAnswer
import org.wisteriahinge.adapters.backend.BackendClient
import org.wisteriahinge.adapters.backend.BackendRequest
import org.wisteriahinge.adapters.backend.HeaderField
import org.wisteriahinge.adapters.backend.RequestBody
import org.wisteriahinge.core.call.Attempt
import org.wisteriahinge.core.call.AttemptFailure
import org.wisteriahinge.core.call.CallRequest
import org.wisteriahinge.core.model.LoadReport

private const val UNAVAILABLE = 503
private const val DRAINING = "draining"

/** What every exchange uses. */
internal class ExchangeServices(
    val gateway: CallGateway,
    val backend: BackendClient,
    val clock: Clock,
    val stall: Duration,
    val answerListener: AnswerListener?
)

/** A caller's request with the parts that decisions do not need. */
internal class ForwardedCall(
    val request: CallRequest,
    private val headers: PersistentList<HeaderField>,
    private val body: RequestBody
) {
    /** Whether another attempt can send the whole body. */
    val isReplayable: Boolean
        get() = when (body) {
            RequestBody.None, is RequestBody.Whole -> true
            is RequestBody.Once -> !body.isUsed
        }

    /** The request as [attempt] sends it at [now]. */
    fun toTarget(attempt: Attempt, now: Instant): BackendRequest {
        val remaining = Duration.between(now, attempt.deadline)
        return BackendRequest(
            method = request.method,
            pathAndQuery = request.path,
            headers = headers.addAll(ownHeaders(attempt, remaining)),
            body = body,
            remaining = remaining
        )
    }

    private fun ownHeaders(attempt: Attempt, remaining: Duration): List<HeaderField> =
        listOfNotNull(
            HeaderField(WireHeaders.TIMEOUT_MILLIS, remaining.toMillis().toString()),
            HeaderField(WireHeaders.DEPTH, (request.depth + 1).toString()),
            HeaderField(WireHeaders.ATTEMPT, attempt.number.toString()),
            HeaderField(WireHeaders.NO_RETRY, "1").takeIf { attempt.noRetry },
            request.idempotencyKey?.let { HeaderField(WireHeaders.IDEMPOTENCY_KEY, it.value) }
        )
}

/** The load that the target reports with its answer; null when it reports none. */
internal fun BackendAnswer.loadReport(now: Instant): LoadReport? {
    val parts = header(WireHeaders.LOAD)?.split('/') ?: return null
    val inFlight = parts.getOrNull(0)?.toIntOrNull() ?: return null
    val slots = parts.getOrNull(1)?.toIntOrNull() ?: return null
    return LoadReport(inFlight, slots, now)
}

/** The failure when the target states that it did not run the request; null otherwise. */
internal fun BackendAnswer.notRunFailure(): AttemptFailure? {
    val reason = header(WireHeaders.NOT_RUN)?.takeIf { status == UNAVAILABLE } ?: return null
    return if (reason == DRAINING) AttemptFailure.TargetDraining else AttemptFailure.Shed
}

/** The headers of [all] that targets get, ready to be sent with each attempt. */
internal fun forwardedHeaders(all: List<HeaderField>): PersistentList<HeaderField> =
    all.forwarded().toPersistentList()
