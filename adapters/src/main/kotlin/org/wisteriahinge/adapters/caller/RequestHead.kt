package org.wisteriahinge.adapters.caller

import com.github.f4b6a3.uuid.util.UuidValidator
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.binding
import com.github.michaelbull.result.map
import com.github.michaelbull.result.toResultOr
import io.netty.handler.codec.http.HttpHeaders
import java.time.Duration
import org.wisteriahinge.adapters.RetryContext
import org.wisteriahinge.adapters.WireDialect
import org.wisteriahinge.adapters.WireHeaders
import org.wisteriahinge.core.model.IdempotencyKey
import org.wisteriahinge.core.model.RefusalReason

private const val UUID_LENGTH = 36
private const val UUID_VERSION = 7

/** Longest number accepted in a header; 18 digits always fit in a Long. */
private const val MAX_DIGITS = 18

/** The parts of a request's head that are interpreted before it is forwarded. */
internal data class RequestHead(
    val method: String,
    val target: String,
    val contentLength: Long?,
    val chunked: Boolean,
    val timeout: Duration?,
    val depth: Int,
    val retriesAllowed: Boolean,
    val idempotencyKey: IdempotencyKey?
) {
    /** Whether a body follows. */
    val hasBody: Boolean get() = chunked || (contentLength ?: 0) > 0
}

/** Parses the head of a request, or returns the reason to refuse it. */
internal fun parseRequestHead(
    method: String,
    target: String,
    headers: HttpHeaders,
    dialect: WireDialect
): Result<RequestHead, RefusalReason> = binding {
    validateTarget(target).bind()
    RequestHead(
        method = method,
        target = target,
        contentLength = headers.singleNumber("Content-Length").bind(),
        chunked = headers["Transfer-Encoding"] != null,
        timeout = headers.singleNumber(dialect.timeoutHeader).bind()?.let(Duration::ofMillis),
        depth = headers.depth(dialect.retryContext).bind(),
        retriesAllowed = headers.allowRetries(dialect.retryContext),
        idempotencyKey = headers.parseIdempotencyKey(dialect.retryContext).bind()
    )
}

private fun HttpHeaders.depth(retryContext: RetryContext): Result<Int, RefusalReason> =
    when (retryContext) {
        RetryContext.Omitted -> Ok(0)
        RetryContext.Propagated -> singleNumber(WireHeaders.DEPTH)
            .map { it?.coerceAtMost(Int.MAX_VALUE.toLong())?.toInt() ?: 0 }
    }

private fun HttpHeaders.allowRetries(retryContext: RetryContext): Boolean = when (retryContext) {
    RetryContext.Omitted -> true
    RetryContext.Propagated -> this[WireHeaders.NO_RETRY] == null
}

// A server that resolves dot segments or decodes slashes would run an operation other than the
// one that was matched and authorized here.
private fun validateTarget(target: String): Result<Unit, RefusalReason> {
    val path = target.substringBefore('?')
    val isOriginForm = target.startsWith('/') && target.all { it in '!'..'~' && it != '#' }
    val ambiguous = '\\' in path || ENCODED_SEPARATOR.containsMatchIn(path) ||
        path.split('/').any { DOT_SEGMENT.matches(it) }
    return if (isOriginForm && !ambiguous) Ok(Unit) else Err(RefusalReason.MalformedRequest)
}

private val ENCODED_SEPARATOR = Regex("%(2f|5c|00)", RegexOption.IGNORE_CASE)
private val DOT_SEGMENT = Regex("(\\.|%2e){1,2}", RegexOption.IGNORE_CASE)

/** The decimal value of header [name]; null if absent, refused if repeated or not a number. */
private fun HttpHeaders.singleNumber(name: String): Result<Long?, RefusalReason> {
    val values = getAll(name).ifEmpty { return Ok(null) }
    return values.singleOrNull()
        ?.takeIf { it.length in 1..MAX_DIGITS && it.all { digit -> digit in '0'..'9' } }
        ?.toLong()
        .toResultOr { RefusalReason.MalformedRequest }
}

private fun HttpHeaders.parseIdempotencyKey(
    retryContext: RetryContext
): Result<IdempotencyKey?, RefusalReason> = when (retryContext) {
    RetryContext.Omitted -> Ok(null)
    RetryContext.Propagated -> parseUuidKey()
}

private fun HttpHeaders.parseUuidKey(): Result<IdempotencyKey?, RefusalReason> {
    val values = getAll(WireHeaders.IDEMPOTENCY_KEY).ifEmpty { return Ok(null) }
    return values.singleOrNull()
        ?.takeIf { it.length == UUID_LENGTH && UuidValidator.isValid(it, UUID_VERSION) }
        ?.let { IdempotencyKey(it.lowercase()) }
        .toResultOr { RefusalReason.InvalidIdempotencyKey }
}
