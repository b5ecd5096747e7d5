package org.wisteriahinge.adapters

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf

/** How targets state their load in a header. */
public sealed interface LoadFormat {
    /** The header's name. */
    public val header: String

    /** `<in flight>/<slots>`. */
    public data class SlashSeparated(override val header: String) : LoadFormat

    /** `<running>,<waiting>,<slots>` and, where known, `,<pace in percent>`. */
    public data class CommaSeparated(override val header: String) : LoadFormat
}

/** How targets state that they did not run a request. */
public sealed interface NotRunFormat {
    /** The header's name. */
    public val header: String

    /** With status 503, [header] gives the reason; [drainingReason] is the one of a leaving target. */
    public data class ReasonHeader(override val header: String, val drainingReason: String) :
        NotRunFormat

    /** [header] is present, whatever its value; [wrongTargetStatus] is the status of another target. */
    public data class MarkerHeader(override val header: String, val wrongTargetStatus: Int) :
        NotRunFormat
}

/** What an answer must show to count as the answer of the target to this request. */
public sealed interface AnswerValidation {
    /** The connection alone decides. */
    public data object None : AnswerValidation

    /**
     * Answers repeat the request's [requestIdHeader], and a success carries the target's [stampHeader].
     *
     * A status in [notRunStatuses] states that the request did not run; from a target it counts only
     * together with its own statement.
     */
    public data class Echoed(
        val requestIdHeader: String,
        val stampHeader: String,
        val notRunStatuses: PersistentSet<Int>
    ) : AnswerValidation
}

/** What is told to the layers behind a target about the attempts before. */
public sealed interface RetryContext {
    /** Depth, attempt number and no-retry mark are exchanged. */
    public data object Propagated : RetryContext

    /** Nothing is exchanged. */
    public data object Omitted : RetryContext
}

/**
 * How callers, instances and targets spell what they exchange in headers.
 *
 * [expectedTargetHeader] names the target that a request is meant for, and [targetId] the one that
 * answered; null where neither is exchanged. With [forwardsHost] the caller's `Host` reaches the
 * target. With [fractionalRetryAfter] delays are told in fractions of a second. The headers in
 * [withheldHeaders] are not passed on to targets.
 */
public data class WireDialect(
    val timeoutHeader: String,
    val load: LoadFormat,
    val notRun: NotRunFormat,
    val answerValidation: AnswerValidation,
    val retryContext: RetryContext,
    val expectedTargetHeader: String?,
    val targetId: String?,
    val forwardsHost: Boolean,
    val fractionalRetryAfter: Boolean,
    val withheldHeaders: PersistentSet<String>
) {
    public companion object {
        /** The product's own headers, as on the design page. */
        public val Default: WireDialect = WireDialect(
            timeoutHeader = WireHeaders.TIMEOUT_MILLIS,
            load = LoadFormat.SlashSeparated(WireHeaders.LOAD),
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
            )
        )
    }
}
