package org.wisteriahinge.core.model

import java.security.MessageDigest
import java.util.HexFormat
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashMapOf

/** Hash of an API key; the key itself is not kept. */
@JvmInline
public value class KeyHash(public val value: String) {
    override fun toString(): String = value

    public companion object {
        /** The hash of [key]. API keys are random and long, so that it needs no salt. */
        public fun of(key: String): KeyHash {
            val digest = MessageDigest.getInstance("SHA-256").digest(key.encodeToByteArray())
            return KeyHash(HexFormat.of().formatHex(digest))
        }
    }
}

/**
 * What a customer may send over all instances together: [requestsPerSecond] and, beyond that,
 * [burstRequests] at once.
 */
public data class RequestQuota(val requestsPerSecond: Double, val burstRequests: Int)

/**
 * A customer whose callers present API keys at routes.
 *
 * [priority] takes precedence over that of the route; null leaves the route's. Without a [quota],
 * the number of requests is not limited.
 */
public data class KeyedCustomer(
    val id: CustomerId,
    val keys: PersistentSet<KeyHash>,
    val priority: Int? = null,
    val quota: RequestQuota? = null
)

/** The customers whose callers present API keys. */
public data class KeyedCustomers(val byId: PersistentMap<CustomerId, KeyedCustomer>) {
    private val byKey: PersistentMap<KeyHash, KeyedCustomer> =
        byId.values.fold(persistentHashMapOf()) { owners, customer ->
            customer.keys.fold(owners) { all, key -> all.put(key, customer) }
        }

    /** The quotas of the customers that have one. */
    public fun quotas(): PersistentMap<CustomerId, RequestQuota> =
        byId.values.fold(persistentHashMapOf()) { all, customer ->
            customer.quota?.let { all.put(customer.id, it) } ?: all
        }

    /** The customer that holds [key]; null if none does. */
    public fun owner(key: KeyHash): KeyedCustomer? = byKey[key]
}
