package org.wisteriahinge.adapters

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf

/** How targets state their load in a header. */
public sealed interface LoadFormat {
    /** The header's name. */
    public val header: String

    /** `<in flight>/<slots>`. */
    public data class Slashed(override val header: String) : LoadFormat

    /** `<running>,<waiting>,<slots>` and, where known, `,<pace in percent>`. */
    public data class Listed(override val header: String) : LoadFormat
}

/** How targets state that they did not run a request. */
public sealed interface NotRunFormat {
    /** The header's name. */
    public val header: String

    /** With status 503, [header] gives the reason; [draining] is the one of a leaving target. */
    public data class Reason(override val header: String, val draining: String) : NotRunFormat

    /** [header] is present, whatever its value; [wrongTarget] is the status of another target. */
    public data class Marker(override val header: String, val wrongTarget: Int) : NotRunFormat
}

/** What an answer must show to count as the answer of the target to this request. */
public sealed interface AnswerProof {
    /** The connection alone decides. */
    public data object None : AnswerProof

    /**
     * Answers repeat the request's [requestId], and a success carries the target's [stamp].
     *
     * A status in [promises] states that the request did not run; from a target it counts only
     * together with its own statement.
     */
    public data class Echoed(
        val requestId: String,
        val stamp: String,
        val promises: PersistentSet<Int>
    ) : AnswerProof
}

/** What is told to the layers behind a target about the attempts before. */
public sealed interface Nesting {
    /** Depth, attempt number and no-retry mark are exchanged. */
    public data object Announced : Nesting

    /** Nothing is exchanged. */
    public data object Unannounced : Nesting
}

/**
 * How callers, instances and targets spell what they exchange in headers.
 *
 * [expectedTarget] names the target that a request is meant for, and [targetId] the one that
 * answered; null where neither is exchanged. With [keepsHost] the caller's `Host` reaches the
 * target. With [fractionalRetryAfter] delays are told in fractions of a second. The headers in
 * [withheld] are not passed on to targets.
 */
public data class WireDialect(
    val timeoutMillis: String,
    val load: LoadFormat,
    val notRun: NotRunFormat,
    val proof: AnswerProof,
    val nesting: Nesting,
    val expectedTarget: String?,
    val targetId: String?,
    val keepsHost: Boolean,
    val fractionalRetryAfter: Boolean,
    val withheld: PersistentSet<String>
) {
    public companion object {
        /** The product's own headers, as on the design page. */
        public val Own: WireDialect = WireDialect(
            timeoutMillis = WireHeaders.TIMEOUT_MILLIS,
            load = LoadFormat.Slashed(WireHeaders.LOAD),
            notRun = NotRunFormat.Reason(WireHeaders.NOT_RUN, draining = "draining"),
            proof = AnswerProof.None,
            nesting = Nesting.Announced,
            expectedTarget = null,
            targetId = null,
            keepsHost = false,
            fractionalRetryAfter = false,
            withheld = persistentSetOf("authorization", WireHeaders.IDEMPOTENCY_KEY.lowercase())
        )
    }
}
