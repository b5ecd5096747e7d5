package org.wisteriahinge.adapters.caller

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.ktor.http.Headers
import io.ktor.http.HttpHeaders
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.httpMethod
import io.ktor.server.request.receiveChannel
import io.ktor.server.request.uri
import io.ktor.util.flattenEntries
import java.time.Duration
import java.time.Instant
import org.wisteriahinge.adapters.backend.HeaderField
import org.wisteriahinge.adapters.backend.RequestBody
import org.wisteriahinge.core.call.CallRequest
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.CallerBounds
import org.wisteriahinge.core.model.RefusalReason

/** A call that was read; [release] gives the memory of its body back. */
internal class ReadCall(
    val forwarded: ForwardedCall,
    private val body: ReadBody,
    private val startedNanos: Long
) {
    fun elapsed(): Duration = Duration.ofNanos(System.nanoTime() - startedNanos)

    fun release() = body.release()
}

/** Reads callers' requests up to the point where decisions can be made on them. */
internal class CallReader(
    private val settings: CallerServerSettings,
    private val parts: CallerServerParts
) {
    private val bodies = BodyReader(settings.body)
    private val rules = HeaderRules(settings.dialect)

    /** Reads the head of [call] and, when it is short, the body; or says why it is refused. */
    suspend fun read(
        call: ApplicationCall,
        callId: CallId,
        bounds: CallerBounds
    ): Result<ReadCall, RefusalReason> {
        val startedNanos = System.nanoTime()
        val arrivedAt = parts.clock.instant()
        val headers = call.request.headers
        val head = readHead(
            call.request.httpMethod.value,
            call.request.uri,
            headers,
            settings.dialect
        ).getOrElse { return Err(it) }
        val content = call.receiveChannel()
        val body = bodies.read(head, content, call.nettyChannel(), bounds.maxBodyBytes)
            .getOrElse { return Err(it) }
        val fields = headers.flattenEntries().map { (name, value) -> HeaderField(name, value) }
        val request = callRequest(callId, head, headers, body.body, arrivedAt)
        val forwarded =
            ForwardedCall(request, rules.forwarded(fields), body.body, rules.echoOf(fields))
        return Ok(ReadCall(forwarded, body, startedNanos))
    }

    private fun callRequest(
        callId: CallId,
        head: RequestHead,
        headers: Headers,
        body: RequestBody,
        arrivedAt: Instant
    ) = CallRequest(
        callId = callId,
        credential = parts.hasher.present(headers[HttpHeaders.Authorization]),
        method = head.method,
        path = head.target,
        idempotencyKey = head.idempotencyKey,
        // Only a caller with a plan can be told apart from others that send the same.
        digest = headers[HttpHeaders.Authorization]?.let { digestOf(head, body) },
        deadline = arrivedAt + minOf(head.timeout ?: settings.defaultTimeout, settings.maxTimeout),
        depth = head.depth,
        retriesAllowed = head.retriesAllowed,
        bodyBytes = body.lengthBytes,
        replayable = body !is RequestBody.Once,
        host = headers[HttpHeaders.Host],
        arrivedAt = arrivedAt
    )

    private fun digestOf(head: RequestHead, body: RequestBody) = when (body) {
        RequestBody.None -> parts.hasher.digest(head.method, head.target, ByteArray(0))
        is RequestBody.Whole -> parts.hasher.digest(head.method, head.target, body.bytes)
        is RequestBody.Once -> null
    }
}
