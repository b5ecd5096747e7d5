package org.wisteriahinge.core.model

import java.time.Duration

/**
 * What callers may send, and how long they may take or stay idle.
 *
 * [headTimeout] is the time from the first byte of a request to the end of its head.
 */
public data class RequestLimits(
    val maxHeadBytes: Int = 16 * 1_024,
    val maxBodyBytes: Long = 8L * 1_024 * 1_024 * 1_024,
    val headTimeout: Duration = Duration.ofSeconds(10),
    val idleTimeout: Duration = Duration.ofSeconds(75)
)
