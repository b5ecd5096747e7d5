package org.wisteriahinge.core.quarantine

import org.wisteriahinge.core.call.AttemptFailure

/** What shows that a backend server crashed while it ran a request. */
public sealed interface CrashEvidence {
    /** The connection closed before an answer began. */
    public data object BrokenConnection : CrashEvidence

    /**
     * The connection closed before the whole answer was read, and a check of the server right after
     * that showed that its process ended. Lost answers, reset connections and broken links are thus
     * no crashes.
     */
    public data object EndedServer : CrashEvidence
}

/** Whether a crash of the server may be the cause of [failure]. */
internal fun CrashEvidence.isPossibleAfter(failure: AttemptFailure): Boolean = when (this) {
    CrashEvidence.BrokenConnection -> failure.mayBeCrash()
    CrashEvidence.EndedServer -> failure.mayBeCrash() || failure == AttemptFailure.Truncated
}
