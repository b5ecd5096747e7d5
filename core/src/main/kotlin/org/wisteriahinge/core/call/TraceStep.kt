package org.wisteriahinge.core.call

import java.time.Instant
import kotlinx.collections.immutable.PersistentList
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.core.model.LoadReport
import org.wisteriahinge.core.model.TargetId
import org.wisteriahinge.core.retry.RetryDenial

/**
 * A target at one moment: [own] requests of this instance in flight, its last load [report], and
 * the requests per second that it accepts if it named a limit.
 */
public data class TargetSnapshot(
    val id: TargetId,
    val own: Int,
    val report: LoadReport?,
    val rateLimit: Double? = null
)

/**
 * The rate limit of a target: [perSecond] requests from all instances together, and [ownPerSecond]
 * from this one.
 */
public data class LimitSnapshot(val id: TargetId, val perSecond: Double, val ownPerSecond: Double)

/** An event or decision recorded for the log of a call. */
public sealed interface TraceStep {
    public val at: Instant

    /**
     * Attempt [number] was sent to [target], and not to [passedOver] others whose rate limits
     * allowed no request.
     */
    public data class Sent(
        override val at: Instant,
        val number: Int,
        val target: TargetSnapshot,
        val passedOver: Int = 0
    ) : TraceStep

    /** Attempt [number] was sent to [instance], which chooses its target, because of [cause]. */
    public data class HandedOver(
        override val at: Instant,
        val number: Int,
        val instance: InstanceId,
        val cause: HandoverCause
    ) : TraceStep

    /** The attempt at [target] ended without an answer. */
    public data class Failed(
        override val at: Instant,
        val target: TargetId,
        val failure: AttemptFailure
    ) : TraceStep

    /** [target] answered with a server error. */
    public data class ErrorAnswered(
        override val at: Instant,
        val target: TargetId,
        val status: Int
    ) : TraceStep

    /** No other attempt was started after one that failed. */
    public data class NotRetried(override val at: Instant, val denial: RetryDenial) : TraceStep

    /** An attempt was slow and was not hedged. */
    public data class NotHedged(override val at: Instant, val denial: RetryDenial) : TraceStep

    /** The rate limits of the targets in [limited] allowed no request, and no other was left. */
    public data class AtRateLimit(
        override val at: Instant,
        val limited: PersistentList<LimitSnapshot>
    ) : TraceStep

    /** None of the targets [probed] had spare capacity. */
    public data class NoCapacity(
        override val at: Instant,
        val probed: PersistentList<TargetSnapshot>
    ) : TraceStep
}
