package org.wisteriahinge.bench.capacity

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** Name of the scenario on the command line. */
internal const val CAPACITY: String = "capacity"

@Serializable
private data class CapacityReport(val scenario: String, val seed: Long, val slopes: List<Slope>)

/** Measures how the costs of control and decisions grow; one line for each slope, JSON last. */
internal fun runCapacity(seed: Long): String {
    val slopes = listSlopes() + peerSlopes() + claimSlopes()
    slopes.forEach { slope -> println(slope.toText()) }
    return Json.encodeToString(CapacityReport(CAPACITY, seed, slopes))
}

private fun Slope.toText(): String = points.joinToString("\n", "$operation, by $dimension\n") {
    "  %8d: %10.0f ns, %10.0f B allocated, state %12d B".format(
        it.size,
        it.nanosPerOperation,
        it.allocatedBytesPerOperation,
        it.stateBytes
    )
}
