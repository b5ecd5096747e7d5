package org.wisteriahinge.adapters.caller

/** Who sends the requests to a [CallerServer]. */
public sealed interface CallSource {
    /** Callers, who are authenticated by their credentials or use open routes. */
    public data object Callers : CallSource

    /** Other instances, which hand calls over and must present [token]. */
    public data class Instances(val token: String) : CallSource
}
