package org.wisteriahinge.adapters.caller

import io.ktor.client.plugins.HttpRequestTimeoutException
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.http.content.OutgoingContent
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.header
import io.ktor.server.response.respond
import io.ktor.server.response.respondBytes
import io.ktor.server.response.respondText
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.copyTo
import java.io.IOException
import java.net.ConnectException
import java.time.Clock
import java.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.channels.Channel
import org.wisteriahinge.adapters.WireHeaders
import org.wisteriahinge.adapters.backend.BackendClient
import org.wisteriahinge.adapters.backend.BackendRequest
import org.wisteriahinge.adapters.backend.HeaderField
import org.wisteriahinge.core.call.Attempt
import org.wisteriahinge.core.call.AttemptFailure
import org.wisteriahinge.core.call.CallEffect
import org.wisteriahinge.core.call.CallEvent
import org.wisteriahinge.core.call.CallRequest
import org.wisteriahinge.core.membership.RetainedAnswer
import org.wisteriahinge.core.model.LoadReport
import org.wisteriahinge.core.model.Refusal

private const val NOT_RUN_STATUS = 503

/** Carries one caller's request from its arrival to its end. */
internal class CallExchange(
    private val call: ApplicationCall,
    private val request: CallRequest,
    private val body: ByteArray?,
    private val gateway: CallGateway,
    private val backend: BackendClient,
    private val clock: Clock
) {
    // An attempt brings at most three effects; the channel never refuses one.
    private val effects = Channel<CallEffect.ForCall>(Channel.UNLIMITED)

    fun accept(effect: CallEffect.ForCall) {
        effects.trySend(effect)
    }

    suspend fun run() {
        for (effect in effects) {
            when (effect) {
                is CallEffect.Forward -> attempt(effect.attempt)
                is CallEffect.Refuse -> return call.respondProblem(effect.refusal, request)
                is CallEffect.DeliverRetained -> return call.respondRetained(effect.answer)
                is CallEffect.Finished -> return
                is CallEffect.Deliver, is CallEffect.CancelAttempt -> Unit
            }
        }
    }

    private suspend fun attempt(attempt: Attempt) {
        try {
            backend.send(attempt, backendRequest(attempt)) { answer -> answered(attempt, answer) }
        } catch (_: HttpRequestTimeoutException) {
            fail(attempt, AttemptFailure.TimedOut)
        } catch (_: ConnectException) {
            fail(attempt, AttemptFailure.ConnectFailed)
        } catch (_: IOException) {
            fail(attempt, AttemptFailure.Disconnected)
        }
    }

    private suspend fun answered(attempt: Attempt, answer: HttpResponse) {
        val load = loadOf(answer)
        val notRun = answer.headers[WireHeaders.NOT_RUN]
        if (answer.status.value == NOT_RUN_STATUS && notRun != null) {
            val failure =
                if (notRun == "draining") AttemptFailure.TargetDraining else AttemptFailure.Shed
            return fail(attempt, failure, load)
        }
        gateway.report(
            CallEvent.Answered(request.callId, attempt.id, answer.status.value, load)
        )
        val next = effects.receive()
        if (next is CallEffect.Deliver) deliver(attempt, answer)
    }

    private suspend fun deliver(attempt: Attempt, answer: HttpResponse) {
        call.respond(StreamedAnswer(answer))
        gateway.report(CallEvent.Completed(request.callId, attempt.id))
    }

    private fun fail(attempt: Attempt, failure: AttemptFailure, load: LoadReport? = null) {
        gateway.report(
            CallEvent.AttemptFailed(request.callId, attempt.id, failure, replayable = true, load)
        )
    }

    private fun loadOf(answer: HttpResponse): LoadReport? {
        val parts = answer.headers[WireHeaders.LOAD]?.split('/') ?: return null
        val inFlight = parts.getOrNull(0)?.toIntOrNull() ?: return null
        val slots = parts.getOrNull(1)?.toIntOrNull() ?: return null
        return LoadReport(inFlight, slots, clock.instant())
    }

    private fun backendRequest(attempt: Attempt): BackendRequest {
        val remaining = Duration.between(clock.instant(), attempt.deadline).toMillis()
        return BackendRequest(
            method = request.method,
            pathAndQuery = request.path,
            headers = forwardedHeaders(attempt, remaining),
            body = body,
            remainingMillis = remaining.coerceAtLeast(1)
        )
    }

    private fun noRetryHeader(attempt: Attempt) =
        if (attempt.noRetry) listOf(HeaderField(WireHeaders.NO_RETRY, "1")) else emptyList()

    private fun forwardedHeaders(
        attempt: Attempt,
        remainingMillis: Long
    ): PersistentList<HeaderField> {
        val own = listOf(
            HeaderField(WireHeaders.TIMEOUT_MILLIS, remainingMillis.toString()),
            HeaderField(WireHeaders.DEPTH, (request.depth + 1).toString()),
            HeaderField(WireHeaders.ATTEMPT, attempt.number.toString())
        ) + noRetryHeader(attempt)
        val key = request.idempotencyKey?.let { HeaderField(WireHeaders.IDEMPOTENCY_KEY, it.value) }
        return (own + listOfNotNull(key)).toPersistentList()
    }
}

private class StreamedAnswer(private val answer: HttpResponse) :
    OutgoingContent.WriteChannelContent() {
    override val status: HttpStatusCode = answer.status
    override val contentLength: Long? = answer.headers[HttpHeaders.ContentLength]?.toLong()
    override val contentType: ContentType? =
        answer.headers[HttpHeaders.ContentType]?.let(ContentType::parse)

    override suspend fun writeTo(channel: ByteWriteChannel) {
        answer.bodyAsChannel().copyTo(channel)
    }
}

internal suspend fun ApplicationCall.respondRetained(answer: RetainedAnswer) {
    respondBytes(
        bytes = answer.body.toByteArray(),
        contentType = answer.contentType?.let(ContentType::parse),
        status = HttpStatusCode.fromValue(answer.status)
    )
}

internal suspend fun ApplicationCall.respondProblem(refusal: Refusal, request: CallRequest) {
    refusal.retryAfter?.let { response.header(HttpHeaders.RetryAfter, it.toSeconds().toString()) }
    respondText(
        text = ProblemDocument.of(refusal, request.callId.toString()).toJson(),
        contentType = ContentType.parse(ProblemDocument.MEDIA_TYPE),
        status = HttpStatusCode.fromValue(refusal.reason.status)
    )
}
