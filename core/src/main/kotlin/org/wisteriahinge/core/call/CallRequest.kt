package org.wisteriahinge.core.call

import java.time.Instant
import org.wisteriahinge.core.handover.HandedOverCall
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.CredentialId
import org.wisteriahinge.core.model.IdempotencyKey
import org.wisteriahinge.core.model.KeyHash
import org.wisteriahinge.core.model.RequestDigest

/** A caller's credential as sent: the credential's id and the keyed hash of the secret. */
public data class PresentedCredential(val id: CredentialId, val keyedHash: String)

/**
 * The part of a caller's request that decisions depend on. The front end keeps body and headers.
 *
 * @property bodyBytes the declared length of the body; null when the body is chunked
 * @property replayable whether the front end holds the whole body and can send it again
 * @property depth the number of nested calls that led to this one
 * @property retriesAllowed false when an outer layer retries
 * @property host the `Host` header
 * @property arrivedAt when the request head arrived; null means the time of the first decision
 * @property callerRequestId the caller's own id of this request, if it sent one
 * @property content the content of the request, by which all instances recognize its resends
 * @property callerAddress where the caller's connection came from; null if unknown
 * @property apiKey the hash of the API key that the caller presented; null if it presented none
 * @property handover what another instance decided that handed the call over; null for callers
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
    val callerRequestId: String? = null,
    val content: RequestContent? = null,
    val callerAddress: String? = null,
    val handover: HandedOverCall? = null,
    val apiKey: KeyHash? = null
)

/** The content of a request, whose digests are computed only when a decision needs them. */
public fun interface RequestContent {
    /** The digest of the content and of who sent it; the same at every instance. */
    public fun digest(): RequestDigest

    /** The digest without who sent it; null if the content is not known as a whole. */
    public fun digestOfAnyCaller(): RequestDigest? = null

    /** A cheap hash of the content without who sent it; null if it is not known as a whole. */
    public fun fingerprint(): Long? = null
}
