package org.wisteriahinge.core.retry

/** Why a retry was started after an attempt. */
public sealed class RetryReason(public val wireName: String) {
    public data object Shed : RetryReason("shed")
    public data object TargetDraining : RetryReason("target_draining")
    public data object WrongTarget : RetryReason("wrong_target")
    public data object ConnectFailed : RetryReason("connect_failed")
    public data object NotSent : RetryReason("not_sent")
    public data object HandoverDeclined : RetryReason("handover_declined")
    public data object HandoverFailed : RetryReason("handover_failed")
    public data object Disconnected : RetryReason("disconnected")
    public data object Truncated : RetryReason("truncated")
    public data object InvalidAnswer : RetryReason("invalid_answer")

    /** The target answered with a server error that another target may not give. */
    public data object ServerError : RetryReason("server_error")
}

/** Why another attempt, a retry or a hedge, was not allowed. */
public sealed class RetryDenial(public val wireName: String) {
    /** The request carries the no-retry header, because an outer layer retries. */
    public data object OuterLayerRetries : RetryDenial("outer_layer_retries")

    /** The request may have run and its operation may not be repeated. */
    public data object NotRepeatable : RetryDenial("not_repeatable")

    /** The front end no longer holds the whole body. */
    public data object NotReplayable : RetryDenial("not_replayable")

    /** The retry or hedge budget of the service at this instance is used up. */
    public data object BudgetSpent : RetryDenial("budget_spent")

    /** The call has reached its maximum number of attempts. */
    public data object AttemptsUsedUp : RetryDenial("attempts_used_up")

    /** Too little time is left before the deadline for an answer. */
    public data object DeadlineTooClose : RetryDenial("deadline_too_close")

    /** The request is suspected of crashing backend servers. */
    public data object Suspected : RetryDenial("suspected")

    /** The API key of the caller is not accepted any more. */
    public data object KeyNotAccepted : RetryDenial("key_not_accepted")

    /** Other calls of the service are queued, or the target of the hedge has no free slot. */
    public data object CallsWaiting : RetryDenial("calls_waiting")

    /** No target is available that was not tried before. */
    public data object NoOtherTarget : RetryDenial("no_other_target")
}

/** Whether another attempt may start. */
public sealed interface RetryVerdict {
    public data class Allowed(val reason: RetryReason) : RetryVerdict
    public data class Denied(val denial: RetryDenial) : RetryVerdict
}
