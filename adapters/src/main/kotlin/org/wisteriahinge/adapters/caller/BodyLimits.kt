package org.wisteriahinge.adapters.caller

import java.time.Duration

private const val BYTES_PER_KIB = 1_024

/**
 * How callers' bodies are kept.
 *
 * A body of up to [maxBufferedBytes] is kept in memory, so that it can be sent again, while the total
 * stays within [maxTotalBufferedBytes]. Any other body is passed on once. [stallTimeout] is the longest
 * pause of a caller that sends one.
 */
public data class BodyLimits(
    val maxBufferedBytes: Int = 256 * BYTES_PER_KIB,
    val maxTotalBufferedBytes: Long = 64L * BYTES_PER_KIB * BYTES_PER_KIB,
    val stallTimeout: Duration = Duration.ofSeconds(10)
)

/** The memory for bodies that is free. Used on the I/O thread only. */
internal class BodyMemory(limits: BodyLimits) {
    private var freeBytes = limits.maxTotalBufferedBytes

    /** Takes [bytes]; false when they are not free. */
    fun tryReserve(bytes: Long): Boolean {
        if (bytes > freeBytes) return false
        freeBytes -= bytes
        return true
    }

    fun release(bytes: Long) {
        freeBytes += bytes
    }
}
