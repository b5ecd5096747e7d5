package org.wisteriahinge.core.once

import java.security.MessageDigest
import java.time.Instant
import java.util.Base64
import java.util.UUID
import org.wisteriahinge.core.model.CustomerId
import org.wisteriahinge.core.model.IdempotencyKey
import org.wisteriahinge.core.model.OperationRef

private const val UUID_VERSION_WITH_TIME = 7
private const val TIME_SHIFT_BITS = 16
private const val DIGEST_BYTES = 16

/** The timestamp in this key; null unless the key is a canonical UUID of version 7. */
public fun IdempotencyKey.time(): Instant? {
    val uuid = try {
        UUID.fromString(value)
    } catch (_: IllegalArgumentException) {
        return null
    }
    val valid = uuid.version() == UUID_VERSION_WITH_TIME && uuid.toString() == value
    return if (valid) {
        Instant.ofEpochMilli(uuid.mostSignificantBits ushr TIME_SHIFT_BITS)
    } else {
        null
    }
}

/** The digest that replaces this key in the log and in messages between instances. */
public fun IdempotencyKey.digest(): KeyDigest = KeyDigest(digestOf(value))

/** A digest that is equal for two requests only if customer, operation and content are equal. */
public fun fingerprint(
    customer: CustomerId,
    operation: OperationRef,
    content: String
): Fingerprint {
    val parts = listOf(
        customer.value,
        operation.service.value,
        operation.operation.value,
        content
    )
    return Fingerprint(digestOf(parts.joinToString("") { "${it.length}:$it" }))
}

private fun digestOf(text: String): String {
    val hash = MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray())
    return Base64.getUrlEncoder().withoutPadding().encodeToString(hash.copyOf(DIGEST_BYTES))
}
