package org.wisteriahinge.charts

import kotlinx.collections.immutable.PersistentList

/**
 * The typed names that a chart file may use.
 *
 * A chart must use every state and event, so that a type without a place in the file is found
 * when the chart is loaded.
 */
public data class ChartVocabulary<S : ChartName, E : ChartName, A : ChartName>(
    val states: PersistentList<S>,
    val events: PersistentList<E>,
    val effects: PersistentList<A>
)
