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
}
