package org.wisteriahinge.core.retry

/** Why an attempt was followed by another one. */
public sealed class RetryReason(public val wireName: String) {
    public data object Shed : RetryReason("shed")
    public data object TargetDraining : RetryReason("target_draining")
    public data object WrongTarget : RetryReason("wrong_target")
    public data object ConnectFailed : RetryReason("connect_failed")
    public data object NotSent : RetryReason("not_sent")
    public data object Disconnected : RetryReason("disconnected")
    public data object Truncated : RetryReason("truncated")
    public data object InvalidAnswer : RetryReason("invalid_answer")

    /** The target answered with a status that another target may not give. */
    public data object ServerError : RetryReason("server_error")
}

/** Why another attempt, a retry or a hedge, was not allowed. */
public sealed class RetryDenial(public val wireName: String) {
    /** The request carries the no-retry mark: an outer layer retries. */
    public data object OuterLayerRetries : RetryDenial("outer_layer_retries")

    /** The request may have run and its operation may not be repeated. */
    public data object NotRepeatable : RetryDenial("not_repeatable")

    /** The front end no longer holds the whole body. */
    public data object NotReplayable : RetryDenial("not_replayable")

    /** The service's budget of this instance is used up. */
    public data object BudgetSpent : RetryDenial("budget_spent")

    /** The call has had its greatest number of attempts. */
    public data object AttemptsUsedUp : RetryDenial("attempts_used_up")

    /** Too little of the deadline is left for an answer. */
    public data object DeadlineTooClose : RetryDenial("deadline_too_close")

    /** The request is suspected of crashing servers. */
    public data object Suspected : RetryDenial("suspected")

    /** Other calls of the service wait for a place at the targets. */
    public data object CallsWaiting : RetryDenial("calls_waiting")

    /** Every available target was tried. */
    public data object NoOtherTarget : RetryDenial("no_other_target")
}

/** Whether a further attempt may start. */
public sealed interface RetryVerdict {
    public data class Allowed(val reason: RetryReason) : RetryVerdict
    public data class Denied(val denial: RetryDenial) : RetryVerdict
}
