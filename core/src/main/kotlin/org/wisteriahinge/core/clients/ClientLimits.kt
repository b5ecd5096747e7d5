package org.wisteriahinge.core.clients

import java.time.Duration

private const val BYTES_PER_MIB = 1_024L * 1_024

/**
 * Limits for all clients of an instance together.
 *
 * [maxDescriptors] is what the machine allows the process to open. The clients' connections,
 * requests and unread answers take at most [memoryBytes]. When these are full, a client that made
 * no progress for [stalledAfter] makes room for others. A client that takes nothing of an answer
 * for [answerReadTimeout] is closed in any case.
 */
public data class ClientLimits(
    val maxDescriptors: Int = 4_096,
    val memoryBytes: Long = 45 * BYTES_PER_MIB,
    val stalledAfter: Duration = Duration.ofMillis(500),
    val answerReadTimeout: Duration = Duration.ofSeconds(30)
) {
    /** The most connections that may be open at [address]. */
    public fun maxConnections(address: ClientAddress): Int =
        maxDescriptors / address.descriptorDivisor
}
