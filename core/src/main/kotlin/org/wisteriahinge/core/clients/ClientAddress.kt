package org.wisteriahinge.core.clients

/**
 * An address at which clients connect. One of [descriptorDivisor] descriptors of the process may be
 * a connection to it; the rest is left to targets, the store and files.
 */
public sealed class ClientAddress(public val wireName: String, public val descriptorDivisor: Int) {
    /** The address of callers. */
    public data object Callers : ClientAddress("callers", 2)

    /** The address at which other instances hand over calls. */
    public data object Handover : ClientAddress("handover", 16)

    /** The address at which other instances read topics. */
    public data object Relay : ClientAddress("relay", 8)

    /** The address for operators and the platform's readiness check. */
    public data object Admin : ClientAddress("admin", 16)
}
