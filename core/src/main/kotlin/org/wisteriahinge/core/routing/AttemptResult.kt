package org.wisteriahinge.core.routing

import org.wisteriahinge.core.call.AttemptFailure
import org.wisteriahinge.core.model.LoadReport

/** The outcome of an attempt, as used to update the state of its target. */
public sealed interface AttemptResult {
    /** The load report that the target sent with the result, if any. */
    public val load: LoadReport?

    /** The head of an answer arrived. */
    public data class Answered(val status: Int, override val load: LoadReport?) : AttemptResult

    /** The attempt failed without a valid answer. */
    public data class Failed(
        val failure: AttemptFailure,
        override val load: LoadReport?,
        val attribution: FailureAttribution = FailureAttribution.Target
    ) : AttemptResult
}
