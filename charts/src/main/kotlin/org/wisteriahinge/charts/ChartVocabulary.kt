package org.wisteriahinge.charts

import kotlinx.collections.immutable.PersistentList

/**
 * The states, events and effects that a chart file may name.
 *
 * A chart must use every state and every event, so that one that is missing from the file is
 * reported when the chart is loaded. Effects may be unused.
 */
public data class ChartVocabulary<S : ChartName, E : ChartName, A : ChartName>(
    val states: PersistentList<S>,
    val events: PersistentList<E>,
    val effects: PersistentList<A>
)
