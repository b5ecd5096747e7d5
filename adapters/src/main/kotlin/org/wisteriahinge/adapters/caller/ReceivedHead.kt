package org.wisteriahinge.adapters.caller

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.binding
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import java.security.MessageDigest
import java.time.Instant
import org.wisteriahinge.adapters.CallerAuthentication
import org.wisteriahinge.adapters.WireDialect
import org.wisteriahinge.adapters.backend.AnswerOwnership
import org.wisteriahinge.adapters.backend.RequestBody
import org.wisteriahinge.adapters.handover.HandoverHeaders
import org.wisteriahinge.adapters.handover.decodeHandover
import org.wisteriahinge.core.call.CallRequest
import org.wisteriahinge.core.call.PresentedCredential
import org.wisteriahinge.core.handover.HandedOverCall
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.KeyHash
import org.wisteriahinge.core.model.RefusalReason
import org.wisteriahinge.core.model.RequestDigest

/** A request whose head was received and validated; its body may still be arriving. */
internal class ReceivedHead(
    val callId: CallId,
    val head: RequestHead,
    private val request: HttpRequest,
    private val callerAddress: String?,
    private val arrivedAt: Instant,
    private val handover: HandedOverCall?,
    private val services: CallerServices
) {
    private val headers = request.headers()

    /** Combines the head with [body] to the call that is submitted and forwarded. */
    fun withBody(body: RequestBody): ForwardedCall {
        val fields = headers.toFields()
        val ownership = services.dialect.ownershipOf(fields)
        return ForwardedCall(
            callRequest(body, ownership.requestId()),
            services.rules.forwarded(fields),
            services.rules,
            body,
            ownership
        )
    }

    private fun AnswerOwnership.requestId(): String? = when (this) {
        is AnswerOwnership.Repeats -> header.value
        AnswerOwnership.NextAnswer, is AnswerOwnership.RepeatsNothing -> null
    }

    private fun callRequest(body: RequestBody, callerRequestId: String?): CallRequest {
        val settings = services.settings
        val authorization = headers[HttpHeaderNames.AUTHORIZATION]
        val timeout = minOf(head.timeout ?: settings.defaultTimeout, settings.maxTimeout)
        return CallRequest(
            callId = callId,
            credential = services.dialect.credentialIn(authorization),
            method = head.method,
            path = head.target,
            idempotencyKey = head.idempotencyKey,
            digest = services.dialect.digestOf(authorization, body),
            deadline = arrivedAt + timeout,
            depth = head.depth,
            retriesAllowed = head.retriesAllowed,
            bodyBytes = body.lengthBytes,
            replayable = body !is RequestBody.Streamed,
            host = headers[HttpHeaderNames.HOST],
            arrivedAt = arrivedAt,
            callerRequestId = callerRequestId,
            content = receivedContent(body),
            callerAddress = callerAddress,
            handover = handover,
            apiKey = services.dialect.apiKeyIn(authorization)
        )
    }

    private fun WireDialect.credentialIn(authorization: String?): PresentedCredential? =
        when (authentication) {
            CallerAuthentication.Credential -> services.hasher.parseBearer(authorization)
            is CallerAuthentication.ApiKey -> null
        }

    private fun WireDialect.apiKeyIn(authorization: String?): KeyHash? = when (authentication) {
        CallerAuthentication.Credential -> null
        is CallerAuthentication.ApiKey -> authorization?.bearerToken()?.let(KeyHash::of)
    }

    /** Callers with API keys send no idempotency keys, for which the digest is compared. */
    private fun WireDialect.digestOf(authorization: String?, body: RequestBody): RequestDigest? =
        when (authentication) {
            CallerAuthentication.Credential -> authorization?.let { digestOf(body) }
            is CallerAuthentication.ApiKey -> null
        }

    private fun receivedContent(body: RequestBody) =
        ReceivedContent(callerAddress, headers[HttpHeaderNames.HOST], head, body)

    private fun digestOf(body: RequestBody) = when (body) {
        RequestBody.None -> services.hasher.digest(head.method, head.target, ByteArray(0))
        is RequestBody.Buffered -> services.hasher.digest(head.method, head.target, body.bytes)
        is RequestBody.Streamed -> null
    }
}

/** Parses the head of [request] from [peerAddress], or returns the reason to refuse it. */
internal fun CallerServices.receiveHead(
    callId: CallId,
    request: HttpRequest,
    peerAddress: String?
): Result<ReceivedHead, RefusalReason> = binding {
    val handover = receiveHandover(request.headers()).bind()
    val head =
        parseRequestHead(request.method().name(), request.uri(), request.headers(), dialect).bind()
    val callerAddress = if (handover == null) peerAddress else handover.callerAddress
    val services = this@receiveHead
    ReceivedHead(callId, head, request, callerAddress, clock.instant(), handover, services)
}

/** What another instance decided on the call; null for calls of callers. */
private fun CallerServices.receiveHandover(
    headers: HttpHeaders
): Result<HandedOverCall?, RefusalReason> = when (val source = settings.source) {
    CallSource.Callers -> Ok(null)
    is CallSource.Instances -> headers[HandoverHeaders.CALL]?.let(::decodeHandover)
        ?.takeIf { it.token.isSameSecret(source.token) }
        ?.let { Ok(it.call) }
        ?: Err(RefusalReason.HandoverNotAuthorized)
}

/** Compares in constant time, so that the time of a refusal tells nothing of the secret. */
private fun String.isSameSecret(other: String): Boolean =
    MessageDigest.isEqual(encodeToByteArray(), other.encodeToByteArray())
