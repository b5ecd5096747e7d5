package org.wisteriahinge.core.call

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.wisteriahinge.core.model.Execution
import org.wisteriahinge.core.model.Refusal

/** A stage that a call passes between the checks of its request and its first attempt. */
public sealed class CallStage(public val wireName: String) {
    /** Refuses requests that are suspected of crashing backend servers. */
    public data object Quarantine : CallStage("quarantine")

    /** Charges the call to its customer's rate and concurrency limits. */
    public data object Limits : CallStage("limits")

    /** Takes a token of the customer's quota over all instances. */
    public data object Quota : CallStage("quota")

    /** Refuses calls that cannot be served in time, before their idempotency key is claimed. */
    public data object Headroom : CallStage("headroom")

    /** Claims the idempotency key of an operation that may not be repeated. */
    public data object Claim : CallStage("claim")

    /** Queues calls until the concurrency limit of their service admits them. */
    public data object Admission : CallStage("admission")

    /** Requests load reports from a few targets right before one of them is chosen. */
    public data object Survey : CallStage("survey")
}

/**
 * The order in which a call passes the stages.
 *
 * A stage that waits for another duty, such as the log, comes before admission, so that a waiting
 * call does not use up the concurrency limit of its service.
 */
internal val callStages: PersistentList<CallStage> by lazy {
    persistentListOf(
        CallStage.Quarantine,
        CallStage.Limits,
        CallStage.Headroom,
        CallStage.Quota,
        CallStage.Claim,
        CallStage.Admission,
        CallStage.Survey
    )
}

/** The outcome of a stage. [decision] is the state after the stage and its effects so far. */
internal sealed interface StageOutcome {
    val decision: CallsDecision

    /** The call goes on to the next stage. */
    data class Passed(override val decision: CallsDecision) : StageOutcome

    /** The call is refused. */
    data class Refused(override val decision: CallsDecision, val refusal: Refusal) : StageOutcome

    /** The call waits until a later event makes the stage call [resumeAfter] or [refuse]. */
    data class Suspended(override val decision: CallsDecision) : StageOutcome
}
