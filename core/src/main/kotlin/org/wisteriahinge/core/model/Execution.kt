package org.wisteriahinge.core.model

/** Whether a backend server executed a request. Callers need it to decide on a repetition. */
public sealed class Execution(public val wireName: String) {
    /** No backend server executed it, so the caller may send it again. */
    public data object NotRun : Execution("not_run")

    /** A backend server answered it. */
    public data object WasRun : Execution("was_run")

    /** It was sent and its outcome is unknown. */
    public data object MayHaveRun : Execution("may_have_run")
}
