package org.wisteriahinge.adapters.caller

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpRequest
import java.time.Instant
import org.wisteriahinge.adapters.backend.RequestBody
import org.wisteriahinge.core.call.CallRequest
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.RefusalReason

/** A request whose head was read; its body follows. */
internal class ReceivedHead(
    val callId: CallId,
    val head: RequestHead,
    private val request: HttpRequest,
    private val arrivedAt: Instant,
    private val services: CallerServices
) {
    private val headers = request.headers()

    /** The request with its [body]. */
    fun withBody(body: RequestBody): ForwardedCall {
        val fields = headers.toFields()
        val echo = services.rules.echoOf(fields)
        return ForwardedCall(
            callRequest(body, echo?.value),
            services.rules.forwarded(fields),
            body,
            echo
        )
    }

    private fun callRequest(body: RequestBody, callerRequestId: String?): CallRequest {
        val settings = services.settings
        val authorization = headers[HttpHeaderNames.AUTHORIZATION]
        val timeout = minOf(head.timeout ?: settings.defaultTimeout, settings.maxTimeout)
        return CallRequest(
            callId = callId,
            credential = services.hasher.parseBearer(authorization),
            method = head.method,
            path = head.target,
            idempotencyKey = head.idempotencyKey,
            // Only a caller with a plan can be told apart from others that send the same.
            digest = authorization?.let { digestOf(body) },
            deadline = arrivedAt + timeout,
            depth = head.depth,
            retriesAllowed = head.retriesAllowed,
            bodyBytes = body.lengthBytes,
            replayable = body !is RequestBody.Once,
            host = headers[HttpHeaderNames.HOST],
            arrivedAt = arrivedAt,
            callerRequestId = callerRequestId
        )
    }

    private fun digestOf(body: RequestBody) = when (body) {
        RequestBody.None -> services.hasher.digest(head.method, head.target, ByteArray(0))
        is RequestBody.Whole -> services.hasher.digest(head.method, head.target, body.bytes)
        is RequestBody.Once -> null
    }
}

/** Reads the head of [request], or says why it is refused. */
internal fun CallerServices.receiveHead(
    callId: CallId,
    request: HttpRequest
): Result<ReceivedHead, RefusalReason> =
    parseRequestHead(request.method().name(), request.uri(), request.headers(), dialect)
        .map { ReceivedHead(callId, it, request, clock.instant(), this) }
