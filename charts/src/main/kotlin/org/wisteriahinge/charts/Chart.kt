package org.wisteriahinge.charts

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf

/** The state after an event and the effects that the chart file lists for the transition. */
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
    /** Interprets [event] in [state]. An ignored event, or any event in a final state, keeps it. */
    public fun step(state: S, event: E): ChartStep<S, A> =
        transitions[state]?.get(event) ?: ChartStep(state, persistentListOf())

    /** Whether [event] has a transition out of [state]; false when the chart ignores it. */
    public fun handles(state: S, event: E): Boolean = transitions[state]?.containsKey(event) == true

    /** Transitions as rows, in the order of the file; used to generate the documentation. */
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
