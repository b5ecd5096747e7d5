package org.wisteriahinge.core.model

import java.time.Duration

/**
 * Limits on the size of requests from callers, and on the time that callers take to send them.
 *
 * [headTimeout] is the longest time from the first byte of a request to the end of its head, and
 * [idleTimeout] the longest time that a connection may stay open between requests.
 */
public data class RequestLimits(
    val maxHeadBytes: Int = 16 * 1_024,
    val maxBodyBytes: Long = 8L * 1_024 * 1_024 * 1_024,
    val headTimeout: Duration = Duration.ofSeconds(10),
    val idleTimeout: Duration = Duration.ofSeconds(75)
)
