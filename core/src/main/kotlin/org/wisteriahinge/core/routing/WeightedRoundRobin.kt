package org.wisteriahinge.core.routing

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import org.wisteriahinge.core.model.Backend

/** A backend that was chosen, and the turn after the choice. */
public data class RoundRobinChoice(val backend: Backend, val after: WeightedRoundRobin)

/**
 * Divides requests among [backends] by weight, spread evenly (smooth weighted round robin).
 *
 * Each choice adds every backend's weight to its [credits], takes the backend with most credit,
 * and charges it the sum of the weights.
 */
public data class WeightedRoundRobin(
    val backends: PersistentList<Backend>,
    val credits: PersistentList<Int>
) {
    /** The backend whose turn it is. */
    public fun next(): RoundRobinChoice {
        val raised = credits.mapIndexed { index, credit -> credit + backends[index].weight }
        val chosen = raised.indices.maxBy { raised[it] }
        val charged = raised.toPersistentList()
            .set(chosen, raised[chosen] - backends.sumOf { it.weight })
        return RoundRobinChoice(backends[chosen], copy(credits = charged))
    }

    /** The turn after [count] choices. */
    public fun advancedBy(count: Int): WeightedRoundRobin =
        (0 until count).fold(this) { turn, _ -> turn.next().after }

    public companion object {
        /** The first turn of [backends], which must not be empty. */
        public fun of(backends: PersistentList<Backend>): WeightedRoundRobin =
            WeightedRoundRobin(backends, List(backends.size) { 0 }.toPersistentList())
    }
}
