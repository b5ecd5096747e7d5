package org.wisteriahinge.core.admission

import org.wisteriahinge.core.model.LoadReport

private const val MIN_LIMIT = 1.0

/** Minimum limit of a service that this instance has not used yet. */
private const val MIN_INITIAL_LIMIT = 4.0

/** Share of a service's slots that one instance may use before it has any load report. */
private const val INITIAL_SHARE = 0.25

private const val INCREASE_RATIO = 0.02
private const val INCREASE_STEP = 0.06
private const val DECREASE_RATIO = 0.03

/** Below this utilization, answers do not show whether the limit is too high or too low. */
private const val MIN_UTILIZATION = 0.8

/**
 * An adaptive limit on the short calls of a service that this instance has at the targets.
 *
 * Each answer adjusts the limit: up if its target reports few requests in flight, down if it
 * reports many. This keeps a short queue at each target, so that no slot is idle during the round
 * trip of an answer and the next request. Decreases are proportional and increases partly constant,
 * so that the limits of several instances converge.
 */
public data class ConcurrencyLimit(val value: Double) {
    /** Returns the limit after an answer with [load] while [inUse] calls are at the targets. */
    public fun observe(load: LoadReport?, inUse: Int): ConcurrencyLimit = when {
        inUse < value * MIN_UTILIZATION -> this
        load == null || load.inFlight <= load.slots + load.slots / 2 -> increased()
        load.inFlight > load.slots * 2 -> decreased()
        else -> this
    }

    /** Returns the limit after a target shed a request. */
    public fun shed(): ConcurrencyLimit = decreased()

    private fun increased() = copy(value = value + value * INCREASE_RATIO + INCREASE_STEP)

    private fun decreased() = copy(value = maxOf(MIN_LIMIT, value - value * DECREASE_RATIO))

    public companion object {
        /** The initial limit for a service whose targets have [slots] in total. */
        public fun initial(slots: Int): ConcurrencyLimit =
            ConcurrencyLimit(maxOf(MIN_INITIAL_LIMIT, slots * INITIAL_SHARE))
    }
}
