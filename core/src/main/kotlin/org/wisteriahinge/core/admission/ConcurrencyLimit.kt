package org.wisteriahinge.core.admission

import org.wisteriahinge.core.model.LoadReport

private const val MIN_LIMIT = 1.0

/** Least limit of a service that this instance has not used yet. */
private const val MIN_INITIAL_LIMIT = 4.0

/** Part of a service's slots that one instance may fill before it has any report. */
private const val INITIAL_SHARE = 0.25

private const val INCREASE_RATIO = 0.02
private const val INCREASE_STEP = 0.06
private const val DECREASE_RATIO = 0.03

/** The limit counts as used above this share; an unused limit is not evidence either way. */
private const val MIN_UTILIZATION = 0.8

/**
 * How many short calls of a service this instance may have at the targets.
 *
 * Each answer moves the limit: up when its target reports few requests in flight, down when it
 * reports many. The target keeps a short queue, so that a slot never idles for the time that an
 * answer and the next request travel. The lower step is proportional and the upper step partly
 * constant, so that the limits of several instances approach each other.
 */
public data class ConcurrencyLimit(val value: Double) {
    /** The limit after an answer with [load], when [inUse] calls are at the targets. */
    public fun observe(load: LoadReport?, inUse: Int): ConcurrencyLimit = when {
        inUse < value * MIN_UTILIZATION -> this
        load == null || load.inFlight <= load.slots + load.slots / 2 -> increased()
        load.inFlight > load.slots * 2 -> decreased()
        else -> this
    }

    /** The limit after a target shed a request. */
    public fun shed(): ConcurrencyLimit = decreased()

    private fun increased() = copy(value = value + value * INCREASE_RATIO + INCREASE_STEP)

    private fun decreased() = copy(value = maxOf(MIN_LIMIT, value - value * DECREASE_RATIO))

    public companion object {
        /** The limit for a service with [slots] over all targets. */
        public fun initial(slots: Int): ConcurrencyLimit =
            ConcurrencyLimit(maxOf(MIN_INITIAL_LIMIT, slots * INITIAL_SHARE))
    }
}
