package org.wisteriahinge.core.quarantine

import java.security.MessageDigest
import org.wisteriahinge.core.call.CallInProgress
import org.wisteriahinge.core.call.CallRequest
import org.wisteriahinge.core.model.CustomerId
import org.wisteriahinge.core.model.OperationRef
import org.wisteriahinge.core.model.RequestDigest

/** Identifies a request, including its resends by the caller, at every instance. */
public sealed interface SuspectKey {
    /** Digest of the content; equal for resends. */
    public val digest: RequestDigest

    /** A request of an identified customer. */
    public data class OfCustomer(
        val customer: CustomerId,
        val operation: OperationRef,
        override val digest: RequestDigest
    ) : SuspectKey

    /**
     * A request for an open route, of one caller or of any caller. The route is not part of the
     * key, because the operator may move a path to another route between two resends.
     */
    public data class OfContent(override val digest: RequestDigest) : SuspectKey
}

internal val CallInProgress.suspectKey: SuspectKey
    get() = if (caller.isOpen) {
        SuspectKey.OfContent(request.content?.digest() ?: request.identity())
    } else {
        SuspectKey.OfCustomer(caller.customer.id, matched.ref, request.identity())
    }

/**
 * The request by its content alone, which is the same for all callers; null if this is not known.
 *
 * A request that ends every target that runs it may come from many addresses. Counted by address
 * alone, each of them could end as many targets as the first.
 */
internal val CallInProgress.sharedSuspectKey: SuspectKey.OfContent?
    get() = request.content?.takeIf { caller.isOpen }?.digestOfAnyCaller()
        ?.let { SuspectKey.OfContent(it) }

/** All keys under which the crashes of this request are counted. */
internal val CallInProgress.suspectKeys: List<SuspectKey>
    get() = listOfNotNull(suspectKey, sharedSuspectKey)

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
