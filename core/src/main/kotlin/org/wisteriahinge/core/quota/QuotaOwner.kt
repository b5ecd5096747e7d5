package org.wisteriahinge.core.quota

import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.mutate
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import org.wisteriahinge.core.limits.TokenBucket
import org.wisteriahinge.core.model.CustomerId
import org.wisteriahinge.core.model.RequestQuota

/** Requests beyond the burst that all relays together may save up; callers arrive at random. */
private const val EXTRA_BURST_REQUESTS = 10.0

/** Part of the burst that all relays together may save up beyond it. */
private const val EXTRA_BURST_SHARE = 0.05

private const val NANOS_PER_SECOND = 1e9

/** An input to [QuotaOwner.decide]. */
public sealed interface QuotaOwnerEvent {
    /** The configuration in force lists these [quotas]. */
    public data class Configured(val quotas: PersistentMap<CustomerId, RequestQuota>) :
        QuotaOwnerEvent

    /** An instance asks for tokens. */
    public data class Asked(val wants: PersistentList<QuotaWant>) : QuotaOwnerEvent
}

/** The state after a decision, and the [grants] for the instance that asked. */
public data class QuotaOwnerDecision(
    val state: QuotaOwner,
    val grants: PersistentList<QuotaGrant> = persistentListOf()
)

/** The [quota] of a customer over all relays, and the tokens of this relay's share of it. */
public data class QuotaAccount(val quota: RequestQuota, val bucket: TokenBucket)

/**
 * The tokens that a relay grants to instances: one of [relayCount] equal shares of each customer's
 * quota.
 *
 * The shares are fixed, so that relays need not agree on anything, and never grant more than the
 * quota together, whichever of them reach each other or the store. A share is lost while its relay
 * is not running. A relay begins without tokens, because its predecessor may just have granted its
 * own.
 */
public data class QuotaOwner(
    val relayCount: Int,
    val accounts: PersistentMap<CustomerId, QuotaAccount> = persistentHashMapOf()
) {
    /** Decides on [event] at [now]. */
    public fun decide(event: QuotaOwnerEvent, now: Instant): QuotaOwnerDecision = when (event) {
        is QuotaOwnerEvent.Configured -> QuotaOwnerDecision(configured(event.quotas, now))
        is QuotaOwnerEvent.Asked ->
            event.wants.fold(QuotaOwnerDecision(this)) { decision, want ->
                val next = decision.state.granting(want, now)
                QuotaOwnerDecision(next.state, decision.grants.addAll(next.grants))
            }
    }

    /** Tokens up to now are counted at the old quota, and then capped to the new one. */
    private fun configured(
        quotas: PersistentMap<CustomerId, RequestQuota>,
        now: Instant
    ): QuotaOwner = copy(
        accounts = persistentHashMapOf<CustomerId, QuotaAccount>().mutate { next ->
            quotas.forEach { (customer, quota) ->
                val bucket = accounts[customer]?.let { filled(it, now) } ?: TokenBucket(0.0, now)
                next[customer] = QuotaAccount(quota, bucket).capped()
            }
        }
    )

    private fun granting(want: QuotaWant, now: Instant): QuotaOwnerDecision {
        // An instance may know a newer configuration than this relay, which has no token then.
        val account = accounts[want.customer]
            ?: return QuotaOwnerDecision(this, persistentListOf(QuotaGrant(want.customer, 0)))
        val bucket = filled(account, now)
        val granted = minOf(bucket.tokens.toInt(), want.tokens.coerceAtLeast(0))
        val left = bucket.copy(tokens = bucket.tokens - granted)
        val next = copy(accounts = accounts.put(want.customer, account.copy(bucket = left)))
        val nextTokenIn = if (granted < want.tokens) account.nextTokenIn(left) else null
        val grant = QuotaGrant(want.customer, granted, nextTokenIn)
        return QuotaOwnerDecision(next, persistentListOf(grant))
    }

    private fun filled(account: QuotaAccount, now: Instant): TokenBucket =
        account.bucket.filled(account.perSecond(), account.capacity(), now)

    private fun QuotaAccount.capped(): QuotaAccount =
        copy(bucket = bucket.copy(tokens = minOf(bucket.tokens, capacity())))

    private fun QuotaAccount.perSecond(): Double = quota.requestsPerSecond / relayCount

    private fun QuotaAccount.capacity(): Double =
        (quota.burstRequests * (1 + EXTRA_BURST_SHARE) + EXTRA_BURST_REQUESTS) / relayCount

    private fun QuotaAccount.nextTokenIn(left: TokenBucket): Duration? {
        if (perSecond() <= 0) return null
        val seconds = (1 - left.tokens).coerceAtLeast(0.0) / perSecond()
        return Duration.ofNanos((seconds * NANOS_PER_SECOND).toLong())
    }
}
