package org.wisteriahinge.core.call

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.wisteriahinge.core.model.Execution
import org.wisteriahinge.core.model.Refusal

/** A step between the checks of a request and its first attempt. */
public sealed class CallStage(public val wireName: String) {
    /** Stops requests that crashed servers. */
    public data object Quarantine : CallStage("quarantine")

    /** Takes the call out of its customer's share of the plan. */
    public data object Limits : CallStage("limits")

    /** Refuses what cannot be served in time before anything is claimed for it. */
    public data object Headroom : CallStage("headroom")

    /** Claims the idempotency key of work that may not be repeated. */
    public data object Claim : CallStage("claim")

    /** Queues calls until a place at the targets is free. */
    public data object Admission : CallStage("admission")

    /** Asks a few targets for their load right before one of them is chosen. */
    public data object Survey : CallStage("survey")
}

/**
 * The order in which a call passes the stages.
 *
 * A stage that waits for another duty, such as the log, comes before admission, so that a call
 * holds no place at the targets while it waits.
 */
internal val callStages: PersistentList<CallStage> by lazy {
    persistentListOf(
        CallStage.Quarantine,
        CallStage.Limits,
        CallStage.Headroom,
        CallStage.Claim,
        CallStage.Admission,
        CallStage.Survey
    )
}

/** What a stage decides about a call. [decision] holds the state that the stage reached. */
internal sealed interface StageOutcome {
    val decision: CallsDecision

    /** The call goes on to the next stage. */
    data class Passed(override val decision: CallsDecision) : StageOutcome

    /** The call is refused. */
    data class Refused(override val decision: CallsDecision, val refusal: Refusal) : StageOutcome

    /** The call waits until the stage calls [resumeAfter] or [refuse] on a later event. */
    data class Suspended(override val decision: CallsDecision) : StageOutcome
}
