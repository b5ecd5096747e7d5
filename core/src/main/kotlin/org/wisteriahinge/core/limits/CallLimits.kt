package org.wisteriahinge.core.limits

import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.wisteriahinge.core.model.Allowance
import org.wisteriahinge.core.model.CustomerId
import org.wisteriahinge.core.model.RefusalReason

private const val NANOS_PER_SECOND = 1e9

/**
 * The [tokens] at [filledAt]. Rate and capacity depend on the share.
 *
 * A new bucket is empty, but for the parts of the allowance that no instance ever held.
 */
public data class TokenBucket(val tokens: Double, val filledAt: Instant) {
    internal fun filled(perSecond: Double, capacity: Double, now: Instant): TokenBucket {
        val elapsed = Duration.between(filledAt, now)
        if (elapsed.isNegative) return copy(tokens = minOf(tokens, capacity))
        val gained = elapsed.toNanos() / NANOS_PER_SECOND * perSecond
        return TokenBucket(minOf(tokens + gained, capacity), now)
    }
}

/**
 * One customer's usage at this instance.
 *
 * @property inProgress calls in progress.
 * @property requestedCalls calls that arrived, admitted or not, decayed at each report of demand.
 * @property requestedBytes bytes of these calls, decayed likewise.
 * @property peakConcurrency the most concurrent calls, refused ones included, decayed likewise.
 */
public data class CustomerUsage(
    val calls: TokenBucket,
    val bytes: TokenBucket,
    val inProgress: Int = 0,
    val requestedCalls: Int = 0,
    val requestedBytes: Long = 0,
    val peakConcurrency: Int = 0
)

/** Which part of each customer's allowance this instance may admit. */
public sealed interface LimitScope {
    /** The whole allowance, for a single instance; its buckets are filled from [since] on. */
    public data class WholePlan(val since: Instant = Instant.EPOCH) : LimitScope

    /** The leased share, and a static share while the instance holds a slot. */
    public data class Leased(val shares: UsableShares) : LimitScope
}

/**
 * The limits and the usage of each customer at this instance. Part of `CallsState`.
 *
 * @property credited the parts of each allowance whose tokens the buckets got when the share came.
 */
public data class CallLimits(
    val settings: LimitsSettings = LimitsSettings(),
    val scope: LimitScope = LimitScope.WholePlan(),
    val usage: PersistentMap<CustomerId, CustomerUsage> = persistentHashMapOf(),
    val credited: PersistentMap<CustomerId, ShareUnits> = persistentHashMapOf(),
    val reportedAt: Instant = Instant.MIN,
    /** Instances that share the leased part; the number of slots until the members are known. */
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

    /** The usage of [customer] with its buckets filled up to [now] at its present rates. */
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

/**
 * Adds the tokens of the parts of [share] that no instance ever held, once.
 *
 * Without them, a new deployment would refuse the first calls of small plans until the rate of the
 * plan has filled the buckets.
 */
internal fun CallLimits.withCredit(
    customer: CustomerId,
    share: LeasedShare,
    allowance: Allowance,
    now: Instant
): CallLimits {
    val added = share.neverHeld.saturatingMinus(credited[customer] ?: ShareUnits.None)
    if (added == ShareUnits.None) return this
    val usage = usageOf(customer, now)
    val calls = usage.calls.tokens + allowance.burstCalls.toDouble() * added.calls / ALL_UNITS
    val bytes = usage.bytes.tokens + allowance.burstBytes.toDouble() * added.bytes / ALL_UNITS
    val next = usage.copy(
        calls = usage.calls.copy(tokens = calls),
        bytes = usage.bytes.copy(tokens = bytes)
    )
    return copy(
        usage = this.usage.put(customer, next),
        credited = credited.put(customer, share.neverHeld)
    )
}

private val WHOLE_ALLOWANCE = ShareUnits(ALL_UNITS, ALL_UNITS, ALL_UNITS)

/** The usable part of an allowance: [leased], and the part of the static slot [slot] of [slots]. */
internal data class UsablePart(val leased: ShareUnits, val slot: Int?, val slots: Int) {
    fun scaled(total: Double, units: Int): Double {
        val static = if (slot == null) 0.0 else STATIC_UNITS.toDouble() / slots
        return total * (units + static) / ALL_UNITS
    }

    /** Like [scaled] for counts: the static part is divided among the slots in whole numbers. */
    fun scaledCount(total: Int, units: Int): Double =
        total.toDouble() * units / ALL_UNITS + staticAmount(total)

    private fun staticAmount(total: Int): Int {
        if (slot == null) return 0
        val amount = total.toLong() * STATIC_UNITS / ALL_UNITS
        return (amount * (slot + 1) / slots - amount * slot / slots).toInt()
    }
}

/** The result of [acquire]; the usage in it includes the request. */
internal sealed interface LimitVerdict {
    data class Admitted(val usage: CustomerUsage) : LimitVerdict
    data class Refused(val usage: CustomerUsage, val reason: RefusalReason) : LimitVerdict
}

/** Admits one call with [bytes] body bytes of [customer], or refuses it with the exceeded limit. */
internal fun CallLimits.acquire(
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
