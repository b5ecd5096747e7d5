package org.wisteriahinge.core.model

/** What is known about whether a backend server ran a request. */
public sealed class Execution(public val wireName: String) {
    /** Certainly not run; the caller may send it again. */
    public data object NotRun : Execution("not_run")

    /** A backend server answered it. */
    public data object WasRun : Execution("was_run")

    /** It was sent and its outcome is unknown. */
    public data object MayHaveRun : Execution("may_have_run")
}
