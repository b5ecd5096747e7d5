package org.wisteriahinge.core.call

import java.time.Instant
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.CredentialId
import org.wisteriahinge.core.model.IdempotencyKey
import org.wisteriahinge.core.model.RequestDigest

/** What a caller presents: the credential's id and the keyed hash of the secret that it sent. */
public data class PresentedCredential(val id: CredentialId, val keyedHash: String)

/**
 * A caller's request as far as decisions need it; body and headers stay with the front end.
 *
 * [bodyBytes] is the declared length, null when the body is chunked. [replayable] says that the
 * front end holds the whole body and can send it again. [depth] counts the calls that led here.
 * [retriesAllowed] is false when an outer layer retries. [host] is the `Host` header. [arrivedAt]
 * is when the head arrived, null for the time of the first decision. [callerRequestId] is the id by
 * which the caller names this request, if it sent one.
 */
public data class CallRequest(
    val callId: CallId,
    val credential: PresentedCredential?,
    val method: String,
    val path: String,
    val idempotencyKey: IdempotencyKey?,
    val digest: RequestDigest?,
    val deadline: Instant,
    val depth: Int,
    val retriesAllowed: Boolean,
    val bodyBytes: Long?,
    val replayable: Boolean,
    val host: String? = null,
    val arrivedAt: Instant? = null,
    val callerRequestId: String? = null
)
