package org.wisteriahinge.core.limits

import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.wisteriahinge.core.model.Allowance
import org.wisteriahinge.core.model.CustomerId
import org.wisteriahinge.core.model.RefusalReason

private const val NANOS_PER_SECOND = 1e9

/** A token bucket without its size, which follows the share. It starts empty. */
public data class TokenBucket(val tokens: Double, val filledAt: Instant) {
    internal fun filled(perSecond: Double, capacity: Double, now: Instant): TokenBucket {
        val elapsed = Duration.between(filledAt, now)
        if (elapsed.isNegative) return copy(tokens = minOf(tokens, capacity))
        val gained = elapsed.toNanos() / NANOS_PER_SECOND * perSecond
        return TokenBucket(minOf(tokens + gained, capacity), now)
    }
}

/** What one customer uses here, and what it asked for since the last report of its demand. */
public data class CustomerUsage(
    val calls: TokenBucket,
    val bytes: TokenBucket,
    val inProgress: Int = 0,
    val requestedCalls: Int = 0,
    val requestedBytes: Long = 0,
    val peakConcurrency: Int = 0
)

/** What part of the plans this instance may admit. */
public sealed interface LimitScope {
    /** The instance is the whole deployment; its buckets fill from [since] on. */
    public data class WholePlan(val since: Instant = Instant.EPOCH) : LimitScope

    /** The instance admits its leased shares, and its static share while it holds a slot. */
    public data class Leased(val shares: UsableShares) : LimitScope
}

/** What this instance may admit for each customer. Part of `CallsState`. */
public data class CallLimits(
    val settings: LimitsSettings = LimitsSettings(),
    val scope: LimitScope = LimitScope.WholePlan(),
    val usage: PersistentMap<CustomerId, CustomerUsage> = persistentHashMapOf(),
    val reportedAt: Instant = Instant.MIN,
    /** Instances that share the leased part; until members are known, one for each slot. */
    val liveInstances: Int = settings.slots
) {
    /** The part of [customer]'s allowance that may be used at [now]. */
    internal fun usablePartOf(customer: CustomerId, now: Instant): UsablePart = when (scope) {
        is LimitScope.WholePlan -> UsablePart(WHOLE_ALLOWANCE, slot = null, settings.slots)
        is LimitScope.Leased -> usablePartOf(scope.shares, customer, now)
    }

    private fun usablePartOf(shares: UsableShares, customer: CustomerId, now: Instant): UsablePart {
        val leased =
            shares.leased[customer]?.takeIf { it.usableUntil > now }?.grants ?: ShareUnits.None
        val slot = shares.slot?.takeIf { it.usableUntil > now }?.slot
        return UsablePart(leased, slot, settings.slots)
    }

    internal fun usageOf(customer: CustomerId, now: Instant): CustomerUsage {
        val since = when (scope) {
            is LimitScope.WholePlan -> scope.since
            is LimitScope.Leased -> now
        }
        return usage[customer] ?: CustomerUsage(TokenBucket(0.0, since), TokenBucket(0.0, since))
    }

    /** Fills the buckets of [customer] for the time up to [now] at the shares held meanwhile. */
    internal fun filled(customer: CustomerId, allowance: Allowance, now: Instant): CustomerUsage {
        val part = usablePartOf(customer, now)
        val usage = usageOf(customer, now)
        return usage.copy(
            calls = usage.calls.filled(
                part.scaled(allowance.callsPerSecond, part.leased.calls),
                part.scaledCount(allowance.burstCalls, part.leased.calls),
                now
            ),
            bytes = usage.bytes.filled(
                part.scaled(allowance.bytesPerSecond.toDouble(), part.leased.bytes),
                part.scaled(allowance.burstBytes.toDouble(), part.leased.bytes),
                now
            )
        )
    }
}

private val WHOLE_ALLOWANCE = ShareUnits(ALL_UNITS, ALL_UNITS, ALL_UNITS)

/** The [leased] parts of an allowance and the static slot [slot] out of [slots]. */
internal data class UsablePart(val leased: ShareUnits, val slot: Int?, val slots: Int) {
    fun scaled(total: Double, units: Int): Double {
        val static = if (slot == null) 0.0 else STATIC_UNITS.toDouble() / slots
        return total * (units + static) / ALL_UNITS
    }

    /** Like [scaled] for what is only useful whole: the static part is dealt out in ones. */
    fun scaledCount(total: Int, units: Int): Double =
        total.toDouble() * units / ALL_UNITS + staticAmount(total)

    private fun staticAmount(total: Int): Int {
        if (slot == null) return 0
        val amount = total.toLong() * STATIC_UNITS / ALL_UNITS
        return (amount * (slot + 1) / slots - amount * slot / slots).toInt()
    }
}

/** The outcome of asking for one call of [bytes] bytes. */
internal sealed interface LimitVerdict {
    data class Admitted(val usage: CustomerUsage) : LimitVerdict
    data class Refused(val usage: CustomerUsage, val reason: RefusalReason) : LimitVerdict
}

/** Takes one call of [bytes] bytes out of the share of [customer], or says which limit it hits. */
internal fun CallLimits.tryAcquire(
    customer: CustomerId,
    allowance: Allowance,
    bytes: Long,
    now: Instant
): LimitVerdict {
    val filled = filled(customer, allowance, now)
    val requested = filled.copy(
        requestedCalls = filled.requestedCalls + 1,
        requestedBytes = filled.requestedBytes + bytes,
        peakConcurrency = maxOf(filled.peakConcurrency, filled.inProgress + 1)
    )
    val part = usablePartOf(customer, now)
    val maxConcurrency = Math.floor(
        part.scaledCount(allowance.concurrentCalls, part.leased.concurrency)
    )
    val reason = when {
        requested.inProgress + 1 > maxConcurrency -> RefusalReason.ConcurrencyExceeded
        requested.calls.tokens < 1 -> RefusalReason.RateExceeded
        requested.bytes.tokens < bytes -> RefusalReason.BytesExceeded
        else -> null
    }
    if (reason != null) return LimitVerdict.Refused(requested, reason)
    return LimitVerdict.Admitted(
        requested.copy(
            calls = requested.calls.copy(tokens = requested.calls.tokens - 1),
            bytes = requested.bytes.copy(tokens = requested.bytes.tokens - bytes),
            inProgress = requested.inProgress + 1
        )
    )
}
