@file:OptIn(ExperimentalSerializationApi::class)

package org.wisteriahinge.adapters.quota

import java.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import org.wisteriahinge.core.model.CustomerId
import org.wisteriahinge.core.quota.QuotaGrant
import org.wisteriahinge.core.quota.QuotaWant

/** Path at which a relay grants tokens of customers' quotas. */
internal const val QUOTA_PATH: String = "/quotas/take"

/** Most tokens of one customer in a message; a larger number is a fault of its sender. */
private const val MAX_TOKENS = 10_000

/** CBOR form of a [QuotaWant]. */
@Serializable
private class WireWant(val customer: String = "", val tokens: Int = 0)

/** CBOR form of a question. */
@Serializable
private class WireQuestion(val wants: List<WireWant> = emptyList())

/** CBOR form of a [QuotaGrant]; [nextMillis] is absent if there is no next token to wait for. */
@Serializable
private class WireGrant(
    val customer: String = "",
    val tokens: Int = 0,
    val nextMillis: Long? = null
)

/** CBOR form of an answer. */
@Serializable
private class WireAnswer(val grants: List<WireGrant> = emptyList())

private val cbor = Cbor { ignoreUnknownKeys = true }

/** Encodes a question for [wants]. */
public fun encodeWants(wants: PersistentList<QuotaWant>): ByteArray {
    val question = WireQuestion(wants.map { WireWant(it.customer.value, it.tokens) })
    return cbor.encodeToByteArray(WireQuestion.serializer(), question)
}

/**
 * Decodes what [encodeWants] encoded.
 *
 * @throws kotlinx.serialization.SerializationException if [bytes] are malformed.
 */
public fun decodeWants(bytes: ByteArray): PersistentList<QuotaWant> =
    cbor.decodeFromByteArray(WireQuestion.serializer(), bytes).wants.map {
        QuotaWant(CustomerId(it.customer), it.tokens.coerceIn(0, MAX_TOKENS))
    }.toPersistentList()

/** Encodes an answer with [grants]. */
public fun encodeGrants(grants: PersistentList<QuotaGrant>): ByteArray {
    val answer = WireAnswer(
        grants.map { WireGrant(it.customer.value, it.tokens, it.nextTokenIn?.toMillis()) }
    )
    return cbor.encodeToByteArray(WireAnswer.serializer(), answer)
}

/**
 * Decodes what [encodeGrants] encoded.
 *
 * @throws kotlinx.serialization.SerializationException if [bytes] are malformed.
 */
public fun decodeGrants(bytes: ByteArray): PersistentList<QuotaGrant> =
    cbor.decodeFromByteArray(WireAnswer.serializer(), bytes).grants.map { grant ->
        QuotaGrant(
            CustomerId(grant.customer),
            grant.tokens.coerceIn(0, MAX_TOKENS),
            grant.nextMillis?.let { Duration.ofMillis(it.coerceAtLeast(0)) }
        )
    }.toPersistentList()
