package org.wisteriahinge.core.call

import org.wisteriahinge.core.model.Execution

/** Why an attempt brought no answer, and what that says about whether the target ran it. */
public sealed class AttemptFailure(public val wireName: String, public val execution: Execution) {
    /** Whether the target may have crashed while it ran the request. */
    internal fun mayBeCrash(): Boolean = this == Disconnected

    /** Whether the target had no room for the request. */
    internal fun isShed(): Boolean = this == Shed

    /** Whether a part of the request may have reached the target. */
    internal fun mayHaveReachedTarget(): Boolean = this != ConnectFailed && this != NotSent

    /** No connection was made, so nothing was sent. */
    public data object ConnectFailed : AttemptFailure("connect_failed", Execution.NotRun)

    /** The target stated that it shed the request. */
    public data object Shed : AttemptFailure("shed", Execution.NotRun)

    /** The target stated that it is draining and did not run the request. */
    public data object TargetDraining : AttemptFailure("target_draining", Execution.NotRun)

    /** Another target has the address now; it stated that it did not run the request. */
    public data object WrongTarget : AttemptFailure("wrong_target", Execution.NotRun)

    /** The front end failed before the first byte was sent. */
    public data object NotSent : AttemptFailure("not_sent", Execution.NotRun)

    /** The connection closed after the request was sent and before an answer began. */
    public data object Disconnected : AttemptFailure("disconnected", Execution.MayHaveRun)

    /** The connection closed after an answer began that was not passed on. */
    public data object Truncated : AttemptFailure("truncated", Execution.MayHaveRun)

    /** The deadline passed before an answer began. */
    public data object TimedOut : AttemptFailure("timed_out", Execution.MayHaveRun)

    /** The answer was not valid HTTP or exceeded a limit. */
    public data object InvalidAnswer : AttemptFailure("invalid_answer", Execution.MayHaveRun)
}
