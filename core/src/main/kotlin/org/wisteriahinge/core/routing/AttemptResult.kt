package org.wisteriahinge.core.routing

import org.wisteriahinge.core.call.AttemptFailure
import org.wisteriahinge.core.model.LoadReport

/** What an attempt showed about its target. */
public sealed interface AttemptResult {
    /** The target's own load report that came with the result, if any. */
    public val load: LoadReport?

    /** The head of an answer arrived. */
    public data class Answered(val status: Int, override val load: LoadReport?) : AttemptResult

    /** No answer came. */
    public data class Failed(
        val failure: AttemptFailure,
        override val load: LoadReport?,
        val attribution: FailureAttribution = FailureAttribution.Target
    ) : AttemptResult
}
