package org.wisteriahinge.charts

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf

/** The result of [Chart.step]: the next state, and the effects that the transition lists. */
public data class ChartStep<S : ChartName, A : ChartName>(
    val state: S,
    val effects: PersistentList<A>
)

/**
 * A validated state chart, loaded from a file by [loadChart].
 *
 * ```
 * val step = chart.step(Availability.Warm, AvailabilityEvent.Drained)
 * ```
 */
public class Chart<S : ChartName, E : ChartName, A : ChartName> internal constructor(
    public val name: String,
    public val initial: S,
    public val finalStates: PersistentSet<S>,
    private val transitions: PersistentMap<S, PersistentMap<E, ChartStep<S, A>>>
) {
    /** Returns the step for [event] in [state]; without a transition it keeps [state]. */
    public fun step(state: S, event: E): ChartStep<S, A> =
        transitions[state]?.get(event) ?: ChartStep(state, persistentListOf())

    /** Whether [state] has a transition for [event]; false if the state ignores it or is final. */
    public fun handles(state: S, event: E): Boolean = transitions[state]?.containsKey(event) == true

    /** All transitions in the order of the file; used to generate the documentation. */
    public fun rows(): List<ChartRow<S, E, A>> = transitions.flatMap { (state, byEvent) ->
        byEvent.map { (event, step) -> ChartRow(state, event, step) }
    }
}

/** One transition of a chart. */
public data class ChartRow<S : ChartName, E : ChartName, A : ChartName>(
    val state: S,
    val event: E,
    val step: ChartStep<S, A>
)
