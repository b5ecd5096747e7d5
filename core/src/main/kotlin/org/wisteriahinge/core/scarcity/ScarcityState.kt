package org.wisteriahinge.core.scarcity

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.wisteriahinge.core.model.ServiceId

/**
 * What decides at one service who gets the room that its targets have.
 *
 * @property shortage how often surveys found no room lately
 * @property badReports how often a probed target had no room at its usual pace lately
 * @property customers the calls of each customer with API keys
 * @property refusals the requests that were refused for lack of room
 */
public data class ServiceScarcity(
    val shortage: Shortage = Shortage(),
    val badReports: Shortage = Shortage(),
    val customers: CustomerShares = CustomerShares(),
    val refusals: RecentRefusals = RecentRefusals()
)

/** The scarcity of room at each service, as this instance sees it. */
public data class ScarcityState(
    val services: PersistentMap<ServiceId, ServiceScarcity> = persistentHashMapOf()
) {
    /** The scarcity at [service]. */
    public fun of(service: ServiceId): ServiceScarcity = services[service] ?: ServiceScarcity()

    internal fun update(
        service: ServiceId,
        change: (ServiceScarcity) -> ServiceScarcity
    ): ScarcityState = copy(services = services.put(service, change(of(service))))
}
