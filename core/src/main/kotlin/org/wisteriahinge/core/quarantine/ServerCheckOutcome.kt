package org.wisteriahinge.core.quarantine

/** What a check of a server showed after a connection to it broke. */
public sealed interface ServerCheckOutcome {
    /** The process that was meant has answered, so that it has not crashed. */
    public data object Running : ServerCheckOutcome

    /** The process ended: another one answers, or nothing accepts connections at its address. */
    public data object Ended : ServerCheckOutcome

    /** It refuses connections, and no other server answered to show that the network works. */
    public data object Unconfirmed : ServerCheckOutcome

    /** Neither is known, because the server is silent. */
    public data object Unknown : ServerCheckOutcome
}
