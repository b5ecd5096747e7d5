package org.wisteriahinge.core.quarantine

import java.security.MessageDigest
import org.wisteriahinge.core.call.CallInProgress
import org.wisteriahinge.core.call.CallRequest
import org.wisteriahinge.core.model.CustomerId
import org.wisteriahinge.core.model.OperationRef
import org.wisteriahinge.core.model.RequestDigest

/** Identifies a request, including its resends by the caller, at every instance. */
public data class SuspectKey(
    val customer: CustomerId,
    val operation: OperationRef,
    val digest: RequestDigest
)

internal val CallInProgress.suspectKey: SuspectKey
    get() = SuspectKey(caller.customer.id, matched.ref, request.identity())

/**
 * The digest of the content; without it a hash of the idempotency key; without both a hash of path
 * and declared length, because a streamed upload has no digest when its first attempt starts.
 */
private fun CallRequest.identity(): RequestDigest = digest
    ?: idempotencyKey?.let { shortHash("key ${it.value}") }
    ?: shortHash("length $bodyBytes $path")

private fun shortHash(text: String): RequestDigest {
    val hash = MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray())
    return RequestDigest(hash.take(16).joinToString("") { "%02x".format(it) })
}
