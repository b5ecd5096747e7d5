package org.wisteriahinge.adapters

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.wisteriahinge.adapters.backend.BackendAnswer
import org.wisteriahinge.core.model.TargetStatement

/** The header in which targets report their load, and its syntax. */
public sealed interface LoadFormat {
    /** The header's name. */
    public val header: String

    /** `<in flight>/<slots>`, for example `2/3`. */
    public data class SlashSeparated(override val header: String) : LoadFormat

    /** `<running>,<waiting>,<slots>` with an optional fourth field, the pace in percent. */
    public data class CommaSeparated(override val header: String) : LoadFormat
}

/** Reads what a target says about itself in an answer. */
public fun interface StatementReader {
    /** The statement in [answer]; null if targets never make one. */
    public fun read(answer: BackendAnswer): TargetStatement?
}

/** The header by which targets state that they did not run a request. */
public sealed interface NotRunFormat {
    /** The header's name. */
    public val header: String

    /** With status 503, [header] holds the reason: [drainingReason] at a draining target. */
    public data class ReasonHeader(override val header: String, val drainingReason: String) :
        NotRunFormat

    /**
     * The presence of [header] is the statement, whatever its value. A target for which the request
     * is not meant answers with [wrongTargetStatus].
     */
    public data class MarkerHeader(override val header: String, val wrongTargetStatus: Int) :
        NotRunFormat
}

/** How an answer is checked to come from the target and to belong to the request. */
public sealed interface AnswerValidation {
    /** No check: an answer belongs to the request that was sent last on the connection. */
    public data object None : AnswerValidation

    /**
     * Answers repeat the request's [requestIdHeader], and successful ones carry [stampHeader].
     *
     * A caller takes a status in [notRunStatuses] to mean that the request did not run. An answer
     * with such a status is therefore invalid without the target's [NotRunFormat] header.
     */
    public data class Echoed(
        val requestIdHeader: String,
        val stampHeader: String,
        val notRunStatuses: PersistentSet<Int>
    ) : AnswerValidation
}

/** Whether requests carry the headers that limit retries by nested load balancers. */
public sealed interface RetryContext {
    /** Call depth, attempt number and no-retry flag are read and sent. */
    public data object Propagated : RetryContext

    /** The headers are neither read nor sent. */
    public data object Omitted : RetryContext
}

/** What callers present in the `Authorization` header. */
public sealed interface CallerAuthentication {
    /** A credential of the form `Bearer <credential id>.<secret>`. */
    public data object Credential : CallerAuthentication

    /** An API key, `Bearer <key>`. Targets get the name of its customer in [customerHeader]. */
    public data class ApiKey(val customerHeader: String) : CallerAuthentication
}

/**
 * The names and formats of the headers that callers, instances and targets exchange.
 *
 * [timeoutHeader] holds the time left for a request in milliseconds. [statement] reads what a
 * target says about itself. [expectedTargetHeader] names the target that a request is meant for and
 * [targetId] the one that answered; either is null if it is not exchanged. With [forwardsHost],
 * targets receive the caller's `Host` header. With [fractionalRetryAfter], `Retry-After` has
 * fractions of a second. The headers in [withheldHeaders], in lower case, are not forwarded to
 * targets. [authentication] is what callers present.
 */
public data class WireDialect(
    val timeoutHeader: String,
    val load: LoadFormat,
    val statement: StatementReader,
    val notRun: NotRunFormat,
    val answerValidation: AnswerValidation,
    val retryContext: RetryContext,
    val expectedTargetHeader: String?,
    val targetId: String?,
    val forwardsHost: Boolean,
    val fractionalRetryAfter: Boolean,
    val withheldHeaders: PersistentSet<String>,
    val authentication: CallerAuthentication
) {
    public companion object {
        /** The headers of this product, named in [WireHeaders]. */
        public val Default: WireDialect = WireDialect(
            timeoutHeader = WireHeaders.TIMEOUT_MILLIS,
            load = LoadFormat.SlashSeparated(WireHeaders.LOAD),
            statement = StatementReader { null },
            notRun = NotRunFormat.ReasonHeader(WireHeaders.NOT_RUN, drainingReason = "draining"),
            answerValidation = AnswerValidation.None,
            retryContext = RetryContext.Propagated,
            expectedTargetHeader = null,
            targetId = null,
            forwardsHost = false,
            fractionalRetryAfter = false,
            withheldHeaders = persistentSetOf(
                "authorization",
                WireHeaders.IDEMPOTENCY_KEY.lowercase()
            ),
            authentication = CallerAuthentication.Credential
        )
    }
}
