package org.wisteriahinge.bench.policy

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.wisteriahinge.core.retry.Hedging
import org.wisteriahinge.core.retry.RetrySettings
import org.wisteriahinge.core.retry.RetryState
import org.wisteriahinge.core.routing.RoutingPolicy

/** A way to choose targets that the bench compares. */
internal sealed interface BenchPolicy {
    val name: String

    /** The decision code of the load balancer with [policy]. */
    data class Decided(override val name: String, val policy: RoutingPolicy) : BenchPolicy

    /** Knows the true state of every target at once and needs no instances. */
    data object Ideal : BenchPolicy {
        override val name: String get() = "ideal"
    }
}

internal val POLICIES: PersistentList<BenchPolicy> = persistentListOf(
    BenchPolicy.Decided("wisteriahinge", RoutingPolicy.LeastExpectedTime()),
    BenchPolicy.Decided("round_robin", RoutingPolicy.RoundRobin),
    BenchPolicy.Decided("random", RoutingPolicy.Random),
    BenchPolicy.Decided("least_in_flight", RoutingPolicy.LeastInFlight),
    BenchPolicy.Decided("two_choices", RoutingPolicy.TwoChoices),
    BenchPolicy.Ideal
)

/** The time to an answer at [target] with [onTheWay] requests, without the request's own work. */
internal fun Scenario.idealCost(target: SimTarget, onTheWay: Int, delayMicros: Long): Double {
    val waiting = (target.inFlight + onTheWay + 1 - target.slots).coerceAtLeast(0)
    val mean = meanMillis * MICROS_PER_MILLI / target.speed
    return 2 * delayMicros + mean * (1 + waiting.toDouble() / target.slots)
}

/** Whether a request sent now would be served well at this target. */
internal fun SimTarget.servesWell(): Boolean = !failFast && !crashed && draining == null && !full

private const val HEDGE_QUANTILE = 0.98

/** Only the load balancer's own policy hedges; the baselines differ in the choice of targets. */
internal fun RoutingPolicy.retries(): RetryState = when (this) {
    is RoutingPolicy.LeastExpectedTime ->
        RetryState(RetrySettings(hedging = Hedging.AfterQuantile(HEDGE_QUANTILE)))
    RoutingPolicy.RoundRobin,
    RoutingPolicy.Random,
    RoutingPolicy.LeastInFlight,
    RoutingPolicy.TwoChoices -> RetryState()
}
