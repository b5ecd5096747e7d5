package org.wisteriahinge.core.limits

import java.time.Duration

/**
 * Bounds of the leases on plan allowances.
 *
 * [slots] is the number of static slots; it exceeds the number of instances, because the slot of an
 * instance that crashed stays taken until [slotTerm] ends. Instances differ by at most [maxClockSkew].
 * [unknownBodyBytes] is what a body without a declared length counts as.
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
