package org.wisteriahinge.core.once

import java.time.Duration

/**
 * Bounds of at-most-once work.
 *
 * [keyWindow] plus twice [maxClockSkew] is shorter than the log's retention. [maxClockError] is the most by
 * which an instance's clock differs from true time. [maxAnswerBytes] bounds one retained answer,
 * [maxRetainedBytes] all of an instance together.
 */
public data class OnceSettings(
    val keyWindow: Duration = Duration.ofMinutes(10),
    val maxClockError: Duration = Duration.ofSeconds(1),
    val maxClockSkew: Duration = Duration.ofSeconds(2),
    val appendsPerSecond: Int = 200,
    val claimTimeout: Duration = Duration.ofSeconds(3),
    val outcomeTimeout: Duration = Duration.ofMillis(500),
    val releaseRetryInterval: Duration = Duration.ofSeconds(5),
    val maxPending: Int = 1_024,
    val maxEntriesPerBatch: Int = 256,
    val maxAnswerBytes: Int = 16_384,
    val maxRetainedBytes: Long = 8L * 1_024 * 1_024,
    val answerRetention: Duration = Duration.ofMinutes(5)
) {
    /**
     * How far a key's time may lie after the moment at which it was claimed, seen by another clock.
     *
     * Its claimant accepts keys up to [maxClockSkew] ahead of its own clock, and the two clocks differ
     * by at most twice [maxClockError].
     */
    val maxKeyLead: Duration get() = maxClockSkew.plus(maxClockError.multipliedBy(2))

    /** How long a claim is kept after its key's time; no clock within bounds accepts it later. */
    val claimRetention: Duration get() = keyWindow.plus(maxKeyLead)
}
