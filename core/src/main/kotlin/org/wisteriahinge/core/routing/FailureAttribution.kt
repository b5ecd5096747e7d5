package org.wisteriahinge.core.routing

/** What a failed attempt is attributed to. */
public sealed interface FailureAttribution {
    /** The target or the network path to it. */
    public data object Target : FailureAttribution

    /** The request, which is suspected of crashing servers; the target's health is unchanged. */
    public data object Request : FailureAttribution
}
