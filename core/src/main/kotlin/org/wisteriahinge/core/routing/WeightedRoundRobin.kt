package org.wisteriahinge.core.routing

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import org.wisteriahinge.core.model.Backend

/** The chosen [backend], and the state [after] the choice. */
public data class RoundRobinChoice(val backend: Backend, val after: WeightedRoundRobin)

/**
 * Smooth weighted round robin: divides requests among [backends] by weight, evenly interleaved.
 *
 * Each choice adds every backend's weight to its entry in [credits], chooses the backend with the
 * highest credit, and subtracts the sum of the weights from that entry.
 */
public data class WeightedRoundRobin(
    val backends: PersistentList<Backend>,
    val credits: PersistentList<Int>
) {
    /** Chooses the next backend. */
    public fun next(): RoundRobinChoice {
        val raised = credits.mapIndexed { index, credit -> credit + backends[index].weight }
        val chosen = raised.indices.maxBy { raised[it] }
        val charged = raised.toPersistentList()
            .set(chosen, raised[chosen] - backends.sumOf { it.weight })
        return RoundRobinChoice(backends[chosen], copy(credits = charged))
    }

    /** The state after [count] choices. */
    public fun advancedBy(count: Int): WeightedRoundRobin =
        (0 until count).fold(this) { state, _ -> state.next().after }

    public companion object {
        /** The initial state for [backends], which must not be empty. */
        public fun of(backends: PersistentList<Backend>): WeightedRoundRobin =
            WeightedRoundRobin(backends, List(backends.size) { 0 }.toPersistentList())
    }
}
