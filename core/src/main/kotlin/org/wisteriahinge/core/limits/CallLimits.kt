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
public data class Bucket(val tokens: Double, val filledAt: Instant) {
    internal fun filled(perSecond: Double, capacity: Double, now: Instant): Bucket {
        val elapsed = Duration.between(filledAt, now)
        if (elapsed.isNegative) return copy(tokens = minOf(tokens, capacity))
        val gained = elapsed.toNanos() / NANOS_PER_SECOND * perSecond
        return Bucket(minOf(tokens + gained, capacity), now)
    }
}

/** What one customer uses here, and what it asked for since the last report of its demand. */
public data class CustomerUse(
    val calls: Bucket,
    val bytes: Bucket,
    val inProgress: Int = 0,
    val askedCalls: Int = 0,
    val askedBytes: Long = 0,
    val mostAskedAtOnce: Int = 0
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
    val use: PersistentMap<CustomerId, CustomerUse> = persistentHashMapOf(),
    val reportedAt: Instant = Instant.MIN,
    /** Instances that share the leased part; until members are known, one for each slot. */
    val liveInstances: Int = settings.slots
) {
    /** The part of [customer]'s allowance that may be used at [now]. */
    internal fun partOf(customer: CustomerId, now: Instant): UsablePart = when (scope) {
        is LimitScope.WholePlan -> UsablePart(ALL, slot = null, settings.slots)
        is LimitScope.Leased -> partOf(scope.shares, customer, now)
    }

    private fun partOf(shares: UsableShares, customer: CustomerId, now: Instant): UsablePart {
        val leased = shares.leased[customer]?.takeIf { it.usableUntil > now }?.grants ?: Grants.None
        val slot = shares.slot?.takeIf { it.usableUntil > now }?.slot
        return UsablePart(leased, slot, settings.slots)
    }

    internal fun useOf(customer: CustomerId, now: Instant): CustomerUse {
        val since = when (scope) {
            is LimitScope.WholePlan -> scope.since
            is LimitScope.Leased -> now
        }
        return use[customer] ?: CustomerUse(Bucket(0.0, since), Bucket(0.0, since))
    }

    /** Fills the buckets of [customer] for the time up to [now] at the shares held meanwhile. */
    internal fun filled(customer: CustomerId, allowance: Allowance, now: Instant): CustomerUse {
        val part = partOf(customer, now)
        val use = useOf(customer, now)
        return use.copy(
            calls = use.calls.filled(
                part.rateOf(allowance.callsPerSecond, part.leased.calls),
                part.amountOf(allowance.burstCalls, part.leased.calls),
                now
            ),
            bytes = use.bytes.filled(
                part.rateOf(allowance.bytesPerSecond.toDouble(), part.leased.bytes),
                part.rateOf(allowance.burstBytes.toDouble(), part.leased.bytes),
                now
            )
        )
    }
}

private val ALL = Grants(ALL_UNITS, ALL_UNITS, ALL_UNITS)

/** The [leased] parts of an allowance and the static slot [slot] out of [slots]. */
internal data class UsablePart(val leased: Grants, val slot: Int?, val slots: Int) {
    fun rateOf(total: Double, units: Int): Double {
        val static = if (slot == null) 0.0 else STATIC_UNITS.toDouble() / slots
        return total * (units + static) / ALL_UNITS
    }

    /** Like [rateOf] for what is only useful whole: the static part is dealt out in ones. */
    fun amountOf(total: Int, units: Int): Double =
        total.toDouble() * units / ALL_UNITS + staticAmount(total)

    private fun staticAmount(total: Int): Int {
        if (slot == null) return 0
        val amount = total.toLong() * STATIC_UNITS / ALL_UNITS
        return (amount * (slot + 1) / slots - amount * slot / slots).toInt()
    }
}

/** The outcome of asking for one call of [bytes] bytes. */
internal sealed interface LimitVerdict {
    data class Admitted(val use: CustomerUse) : LimitVerdict
    data class Refused(val use: CustomerUse, val reason: RefusalReason) : LimitVerdict
}

/** Takes one call of [bytes] bytes out of the share of [customer], or says which limit it hits. */
internal fun CallLimits.take(
    customer: CustomerId,
    allowance: Allowance,
    bytes: Long,
    now: Instant
): LimitVerdict {
    val filled = filled(customer, allowance, now)
    val asked = filled.copy(
        askedCalls = filled.askedCalls + 1,
        askedBytes = filled.askedBytes + bytes,
        mostAskedAtOnce = maxOf(filled.mostAskedAtOnce, filled.inProgress + 1)
    )
    val part = partOf(customer, now)
    val places = Math.floor(part.amountOf(allowance.concurrentCalls, part.leased.concurrency))
    val reason = when {
        asked.inProgress + 1 > places -> RefusalReason.ConcurrencyExceeded
        asked.calls.tokens < 1 -> RefusalReason.RateExceeded
        asked.bytes.tokens < bytes -> RefusalReason.BytesExceeded
        else -> null
    }
    if (reason != null) return LimitVerdict.Refused(asked, reason)
    return LimitVerdict.Admitted(
        asked.copy(
            calls = asked.calls.copy(tokens = asked.calls.tokens - 1),
            bytes = asked.bytes.copy(tokens = asked.bytes.tokens - bytes),
            inProgress = asked.inProgress + 1
        )
    )
}
