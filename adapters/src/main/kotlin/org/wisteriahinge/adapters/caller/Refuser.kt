package org.wisteriahinge.adapters.caller

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.netty.NettyApplicationCall
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import io.netty.channel.Channel
import java.math.BigDecimal
import java.time.Duration
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.Refusal

private const val MILLI_DIGITS = 3
private const val MILLIS_PER_SECOND = 1_000L

/** Answers callers on behalf of the load balancer itself. */
internal class Refuser(
    private val call: ApplicationCall,
    private val callId: CallId,
    private val fractionalRetryAfter: Boolean
) {
    /** Sends [refusal] as a problem document; aborts when part of an answer was sent before. */
    suspend fun refuse(refusal: Refusal) {
        if (call.response.isCommitted) return abort()
        refusal.retryAfter?.let {
            call.response.header(HttpHeaders.RetryAfter, secondsOf(it))
        }
        // A body that was not read would be taken for the next request.
        if (call.hasUnreadBody() && call.response.headers[HttpHeaders.Connection] == null) {
            call.response.header(HttpHeaders.Connection, "close")
        }
        call.respondText(
            text = ProblemDocument.of(refusal, callId.toString()).toJson(),
            contentType = ContentType.parse(ProblemDocument.MEDIA_TYPE),
            status = HttpStatusCode.fromValue(refusal.reason.status)
        )
    }

    /** Closes the caller's connection, so that a partial answer is not taken for a whole one. */
    fun abort() {
        call.nettyChannel().close()
    }

    private fun secondsOf(delay: Duration): String = if (fractionalRetryAfter) {
        BigDecimal.valueOf(delay.toMillis(), MILLI_DIGITS).toPlainString()
    } else {
        delay.plusMillis(MILLIS_PER_SECOND - 1).toSeconds().coerceAtLeast(1).toString()
    }

    private fun ApplicationCall.hasUnreadBody(): Boolean {
        val headers = request.headers
        return headers[HttpHeaders.TransferEncoding] != null ||
            (headers[HttpHeaders.ContentLength] ?: "0") != "0"
    }
}

/** The caller's connection. */
internal fun ApplicationCall.nettyChannel(): Channel =
    (this as NettyApplicationCall).context.channel()
