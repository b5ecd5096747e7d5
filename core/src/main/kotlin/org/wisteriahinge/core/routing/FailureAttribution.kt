package org.wisteriahinge.core.routing

/** What a failed attempt is held against. */
public sealed interface FailureAttribution {
    /** The target, or the way to it. */
    public data object Target : FailureAttribution

    /** The request, which was already suspected of crashing servers; the target is not at fault. */
    public data object Request : FailureAttribution
}
