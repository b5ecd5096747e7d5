package org.wisteriahinge.bench.capacity

import java.lang.management.ManagementFactory
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.Serializable
import org.openjdk.jol.info.GraphLayout

private const val WARM_UP_ROUNDS = 3

/** What one size costs. Times are processor time of the measuring thread. */
@Serializable
internal data class SlopePoint(
    val size: Int,
    val nanosPerOperation: Double,
    val allocatedBytesPerOperation: Double,
    val stateBytes: Long
)

/** How the cost of [operation] grows with [dimension]. */
@Serializable
internal data class Slope(
    val operation: String,
    val dimension: String,
    val points: List<SlopePoint>
)

/** An operation on a state that can be repeated. */
internal class Measured(val state: Any, val operations: Int, val run: () -> Unit)

internal fun measureSlope(
    operation: String,
    dimension: String,
    sizes: PersistentList<Int>,
    prepare: (size: Int) -> Measured
): Slope = Slope(
    operation,
    dimension,
    sizes.map { size -> measurePoint(size, prepare(size)) }.toPersistentList()
)

private fun measurePoint(size: Int, measured: Measured): SlopePoint {
    repeat(WARM_UP_ROUNDS) { measured.run() }
    val threads = ManagementFactory.getThreadMXBean() as com.sun.management.ThreadMXBean
    val thread = Thread.currentThread().id
    val bytesBefore = threads.getThreadAllocatedBytes(thread)
    val nanosBefore = threads.currentThreadCpuTime
    measured.run()
    val nanos = threads.currentThreadCpuTime - nanosBefore
    val bytes = threads.getThreadAllocatedBytes(thread) - bytesBefore
    return SlopePoint(
        size = size,
        nanosPerOperation = nanos.toDouble() / measured.operations,
        allocatedBytesPerOperation = bytes.toDouble() / measured.operations,
        stateBytes = GraphLayout.parseInstance(measured.state).totalSize()
    )
}
