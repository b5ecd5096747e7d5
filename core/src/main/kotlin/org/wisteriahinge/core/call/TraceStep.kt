package org.wisteriahinge.core.call

import java.time.Instant
import kotlinx.collections.immutable.PersistentList
import org.wisteriahinge.core.model.LoadReport
import org.wisteriahinge.core.model.TargetId
import org.wisteriahinge.core.retry.RetryDenial

/** What this instance knew of a target: its own requests there and the target's last report. */
public data class TargetSnapshot(val id: TargetId, val own: Int, val report: LoadReport?)

/** A decision or event in the course of a call. */
public sealed interface TraceStep {
    public val at: Instant

    /** Attempt [number] was sent to [target]. */
    public data class Sent(override val at: Instant, val number: Int, val target: TargetSnapshot) :
        TraceStep

    /** The attempt at [target] brought no answer. */
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

    /** No further attempt followed a failed one. */
    public data class NotRetried(override val at: Instant, val denial: RetryDenial) : TraceStep

    /** The attempt was slow, and no second one was sent beside it. */
    public data class NotHedged(override val at: Instant, val denial: RetryDenial) : TraceStep

    /** None of the targets [probed] had room. */
    public data class NoCapacity(
        override val at: Instant,
        val probed: PersistentList<TargetSnapshot>
    ) : TraceStep
}
