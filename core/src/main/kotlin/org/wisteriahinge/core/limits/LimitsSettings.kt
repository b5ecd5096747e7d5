package org.wisteriahinge.core.limits

import java.time.Duration

/**
 * Settings of the leases on the allowances of customers' plans.
 *
 * @property slots number of static slots. It exceeds the number of instances, because the slot of
 * an instance that crashed stays taken until [slotTerm] ends.
 * @property leaseTerm how long a leased share lasts.
 * @property slotTerm how long a static slot lasts.
 * @property maxClockSkew largest difference between the clocks of two instances.
 * @property minAppendInterval shortest time between two appends of an instance.
 * @property retryAfter retry-after for calls that exceed a limit.
 * @property unknownBodyBytes size that is assumed for a body without a declared length.
 */
public data class LimitsSettings(
    val slots: Int = 24,
    val leaseTerm: Duration = Duration.ofSeconds(30),
    val slotTerm: Duration = Duration.ofHours(24),
    val maxClockSkew: Duration = Duration.ofSeconds(2),
    val minAppendInterval: Duration = Duration.ofMillis(500),
    val retryAfter: Duration = Duration.ofSeconds(2),
    val unknownBodyBytes: Long = 256L * 1_024 * 1_024
) {
    /** Shares are renewed at a third of their term, so that one lost append does not end them. */
    val renewInterval: Duration get() = leaseTerm.dividedBy(3)
}
