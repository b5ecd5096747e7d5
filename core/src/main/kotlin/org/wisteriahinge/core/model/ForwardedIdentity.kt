package org.wisteriahinge.core.model

/** What targets learn about the caller of a request for a route. */
public sealed interface ForwardedIdentity {
    /** The configuration lists no keyed customers: the caller's headers are passed on. */
    public data object AsSent : ForwardedIdentity

    /** The route needs no key: targets get neither a key nor the name of a customer. */
    public data object Anonymous : ForwardedIdentity

    /** The caller presented a key of [customer], whose name targets get instead of the key. */
    public data class OfCustomer(val customer: CustomerId) : ForwardedIdentity
}
