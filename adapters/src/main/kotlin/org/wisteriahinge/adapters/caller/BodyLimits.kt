package org.wisteriahinge.adapters.caller

import java.time.Duration

private const val BYTES_PER_KIB = 1_024

/**
 * How callers' bodies are kept.
 *
 * A body of up to [bufferedBytes] is kept in memory, so that it can be sent again, while the total
 * stays within [bufferedTotalBytes]. Any other body is passed on once. [stall] is the longest
 * pause of a caller that sends one.
 */
public data class BodyLimits(
    val bufferedBytes: Int = 256 * BYTES_PER_KIB,
    val bufferedTotalBytes: Long = 64L * BYTES_PER_KIB * BYTES_PER_KIB,
    val stall: Duration = Duration.ofSeconds(10)
)

/** The memory for bodies that is free. Used on the I/O thread only. */
internal class BodyMemory(limits: BodyLimits) {
    private var freeBytes = limits.bufferedTotalBytes

    /** Takes [bytes]; false when they are not free. */
    fun take(bytes: Long): Boolean {
        if (bytes > freeBytes) return false
        freeBytes -= bytes
        return true
    }

    fun giveBack(bytes: Long) {
        freeBytes += bytes
    }
}
