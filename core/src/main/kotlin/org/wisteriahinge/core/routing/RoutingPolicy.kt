package org.wisteriahinge.core.routing

/** The algorithm that chooses a target. The first four are baselines for benchmarks. */
public sealed interface RoutingPolicy {
    /** Each target in turn. */
    public data object RoundRobin : RoutingPolicy

    /** Any target with equal probability. */
    public data object Random : RoutingPolicy

    /** The target with the fewest requests of this instance in flight. */
    public data object LeastInFlight : RoutingPolicy

    /** Of two random targets, the one with fewer requests of this instance in flight. */
    public data object TwoChoices : RoutingPolicy

    /**
     * The target with the least expected answer time, estimated from requests in flight, load
     * reports, answer times, zone and availability. `docs/decisions/routing.md` has the figures
     * behind the defaults.
     *
     * [sampleSize] random targets are compared for each request; 0 compares all preferred ones.
     * [reportDecayMillis] is the time constant with which the weight of a load report decays.
     * [zonePenaltyMillis] is the added round-trip time to another zone. [zonePenaltyMillisPerKib]
     * is added for each KiB of the request body, where traffic between zones has a cost.
     */
    public data class LeastExpectedTime(
        val sampleSize: Int = 0,
        val reportDecayMillis: Double = 15.0,
        val zonePenaltyMillis: Double = 2.0,
        val zonePenaltyMillisPerKib: Double = 0.0
    ) : RoutingPolicy
}
