package org.wisteriahinge.core.quota

import java.time.Duration
import org.wisteriahinge.core.model.CustomerId

/** Asks a relay for [tokens] of [customer], one for each call that waits. */
public data class QuotaWant(val customer: CustomerId, val tokens: Int)

/**
 * The [tokens] that a relay granted to the calls of [customer]. If these are fewer than it was
 * asked for, it has the next one in [nextTokenIn]; null if it does not know the customer yet.
 */
public data class QuotaGrant(
    val customer: CustomerId,
    val tokens: Int,
    val nextTokenIn: Duration? = null
)

/** Why a relay granted nothing. */
public sealed interface RelayFailure {
    /** Its machine refused the connection, so that it grants tokens to no other instance either. */
    public data object Refused : RelayFailure

    /** It did not answer in time, or answered something else; others may get tokens from it. */
    public data object Silent : RelayFailure
}
