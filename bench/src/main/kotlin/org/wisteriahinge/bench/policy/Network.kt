package org.wisteriahinge.bench.policy

/** One-way delay within a zone. */
private const val LOCAL_MICROS = 250L

/** One-way delay between the nearest two zones. */
private const val NEAR_MICROS = 1_000L

/** One-way delay between the farthest two zones. */
private const val FAR_MICROS = 1_500L

private const val STEPS = 4

/** One-way delay from zone [from] to zone [to]; fixed for each pair of zones. */
internal fun networkMicros(from: Int, to: Int): Long = when {
    from == to -> LOCAL_MICROS
    else -> {
        val step = (from + to) % (STEPS + 1)
        NEAR_MICROS + (FAR_MICROS - NEAR_MICROS) * step / STEPS
    }
}
