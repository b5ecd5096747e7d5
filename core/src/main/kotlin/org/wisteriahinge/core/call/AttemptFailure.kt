package org.wisteriahinge.core.call

import org.wisteriahinge.core.model.Execution

/** Why an attempt ended without an answer, and whether the target may have run the request. */
public sealed class AttemptFailure(public val wireName: String, public val execution: Execution) {
    /** Whether the target may have crashed while it ran the request. */
    internal fun mayBeCrash(): Boolean = this == Disconnected

    /** Whether the target rejected the request because it was overloaded. */
    internal fun isShed(): Boolean = this == Shed

    /** Whether any part of the request may have reached the target. */
    internal fun mayHaveReachedTarget(): Boolean =
        this != ConnectFailed && this != NotSent && this != HandoverDeclined

    /** No connection was made, so nothing was sent. */
    public data object ConnectFailed : AttemptFailure("connect_failed", Execution.NotRun)

    /** The target stated that it shed the request because of overload. */
    public data object Shed : AttemptFailure("shed", Execution.NotRun)

    /** The target stated that it is draining and did not run the request. */
    public data object TargetDraining : AttemptFailure("target_draining", Execution.NotRun)

    /** The address now belongs to another target, which stated that it did not run the request. */
    public data object WrongTarget : AttemptFailure("wrong_target", Execution.NotRun)

    /** The front end failed before the first byte was sent. */
    public data object NotSent : AttemptFailure("not_sent", Execution.NotRun)

    /** The connection closed after the request was sent and before an answer began. */
    public data object Disconnected : AttemptFailure("disconnected", Execution.MayHaveRun)

    /** The connection closed after an answer began and before any of it was delivered. */
    public data object Truncated : AttemptFailure("truncated", Execution.MayHaveRun)

    /** The deadline passed before an answer began. */
    public data object TimedOut : AttemptFailure("timed_out", Execution.MayHaveRun)

    /** The other instance stated that it did not send the request to any target. */
    public data object HandoverDeclined : AttemptFailure("handover_declined", Execution.NotRun)

    /** The other instance stated that a target may have run the request and gave no answer. */
    public data object HandoverFailed : AttemptFailure("handover_failed", Execution.MayHaveRun)

    /** The answer was not valid HTTP or exceeded a limit. */
    public data object InvalidAnswer : AttemptFailure("invalid_answer", Execution.MayHaveRun)
}
