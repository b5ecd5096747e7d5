package org.wisteriahinge.core.quota

import org.wisteriahinge.core.model.Address

/** News on the relays that grant tokens, for logs and metrics. */
public sealed interface QuotaNotice {
    public val relay: Address

    /** [relay] granted nothing because of [failure], and did before, or was not asked before. */
    public data class RelayLost(override val relay: Address, val failure: RelayFailure) :
        QuotaNotice

    /** [relay] answers again. */
    public data class RelayBack(override val relay: Address) : QuotaNotice
}
