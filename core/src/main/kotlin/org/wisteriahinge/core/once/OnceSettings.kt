package org.wisteriahinge.core.once

import java.time.Duration

/**
 * Limits for calls that run at most once per idempotency key.
 *
 * @property keyWindow how long after the time in its key a request is accepted. With twice
 * [maxClockSkew] added it must be shorter than the log's retention.
 * @property maxClockError largest difference between an instance's clock and true time.
 * @property maxClockSkew how far the time in a key may be ahead of the instance's clock.
 * @property appendsPerSecond appends to the log by all instances together.
 * @property claimTimeout longest wait for a claim to be read back.
 * @property outcomeTimeout longest wait for the reply of the instance that holds a key.
 * @property releaseRetryInterval delay before a release that was not read back is appended again.
 * @property maxPending claims that may wait for their append.
 * @property maxAnswerBytes largest answer that is kept for resends.
 * @property maxRetainedBytes total size of the answers that an instance keeps.
 * @property answerRetention how long an answer is kept.
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
     * Largest lead of a key's time over the time of its claim by another instance's clock.
     *
     * The claiming instance accepts keys up to [maxClockSkew] ahead of its own clock, and two
     * clocks differ by at most twice [maxClockError].
     */
    val maxKeyLead: Duration get() = maxClockSkew.plus(maxClockError.multipliedBy(2))

    /** How long a claim is kept after its key's time; after that every instance refuses the key. */
    val claimRetention: Duration get() = keyWindow.plus(maxKeyLead)
}
