package org.wisteriahinge.core.routing

/** How a target is chosen among those available. */
public sealed interface RoutingPolicy {
    /** Each target in turn. */
    public data object RoundRobin : RoutingPolicy

    /** Any target with equal probability. */
    public data object Random : RoutingPolicy

    /** The target with the fewest requests of this instance in flight. */
    public data object LeastInFlight : RoutingPolicy

    /** The better of two random targets by requests in flight. */
    public data object TwoChoices : RoutingPolicy

    /**
     * The target with the least expected time to an answer, by own requests, load reports that
     * age, pace, zone and availability. `docs/decisions/routing.md` has the figures behind the
     * defaults.
     *
     * [sampleSize] targets are compared for a request, 0 for all that are preferred.
     * [reportDecayMillis] is the age at which a load report counts 37%. [zonePenaltyMillis] is
     * the added time to another zone and back; [zonePenaltyMillisPerKib] is added for the body,
     * where bytes between zones cost.
     */
    public data class LeastExpectedTime(
        val sampleSize: Int = 0,
        val reportDecayMillis: Double = 15.0,
        val zonePenaltyMillis: Double = 2.0,
        val zonePenaltyMillisPerKib: Double = 0.0
    ) : RoutingPolicy
}
