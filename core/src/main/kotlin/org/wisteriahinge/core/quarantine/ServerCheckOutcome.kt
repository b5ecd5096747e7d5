package org.wisteriahinge.core.quarantine

/** What a check of a server showed after a connection to it broke. */
public sealed interface ServerCheckOutcome {
    /** The process that was meant has answered, so that it has not crashed. */
    public data object Running : ServerCheckOutcome

    /** The process ended: another one answers, or nothing accepts connections at its address. */
    public data object Ended : ServerCheckOutcome

    /** Neither is known, because the server is silent or no other server can be reached either. */
    public data object Unknown : ServerCheckOutcome
}
