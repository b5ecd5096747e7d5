package org.wisteriahinge.adapters.caller

import java.time.Duration

private const val BYTES_PER_KIB = 1_024

/**
 * Limits for request bodies.
 *
 * A body of up to [maxBufferedBytes] is buffered, so that a retry can send it again, as long as all
 * buffered bodies fit in [maxTotalBufferedBytes]. Any other body is streamed and can be sent only
 * once. [stallTimeout] is the longest pause of a caller while it sends a body.
 */
public data class BodyLimits(
    val maxBufferedBytes: Int = 256 * BYTES_PER_KIB,
    val maxTotalBufferedBytes: Long = 64L * BYTES_PER_KIB * BYTES_PER_KIB,
    val stallTimeout: Duration = Duration.ofSeconds(10)
)

/** Accounts for the memory of buffered request bodies. Used on the I/O thread only. */
internal class BodyMemory(limits: BodyLimits) {
    private var freeBytes = limits.maxTotalBufferedBytes

    /** Reserves [bytes]; false if fewer are free. */
    fun tryReserve(bytes: Long): Boolean {
        if (bytes > freeBytes) return false
        freeBytes -= bytes
        return true
    }

    fun release(bytes: Long) {
        freeBytes += bytes
    }
}
