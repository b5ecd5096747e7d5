package org.wisteriahinge.core.once

import java.time.Instant
import kotlinx.collections.immutable.PersistentList
import org.wisteriahinge.core.model.InstanceId

/** Digest of an idempotency key; the key itself is neither logged nor sent to other instances. */
@JvmInline
public value class KeyDigest(public val value: String) {
    override fun toString(): String = value
}

/** Digest of customer, operation and content; the same for a request and its resends. */
@JvmInline
public value class Fingerprint(public val value: String)

/** Identifies a claim among all instances: each start of an instance has a new [InstanceId]. */
public data class ClaimId(val instance: InstanceId, val sequence: Long)

/** An entry of a [ClaimBatch]. */
public sealed interface ClaimEntry {
    public val id: ClaimId
    public val key: KeyDigest

    /** Claims [key]. The first claim in the log on a key that is not held wins it. */
    public data class Claim(
        override val id: ClaimId,
        override val key: KeyDigest,
        val keyTime: Instant,
        val fingerprint: Fingerprint
    ) : ClaimEntry

    /** Releases the key of the claim [id], whose request did not run and never will. */
    public data class Release(override val id: ClaimId, override val key: KeyDigest) : ClaimEntry
}

/**
 * One record of the stream `claims`.
 *
 * When it was written, at [readAt] by its writer's clock, the writer had read all records below
 * [readOffset]. They were therefore appended before [readAt].
 */
public data class ClaimBatch(
    val appendId: String,
    val readOffset: Long,
    val readAt: Instant,
    val entries: PersistentList<ClaimEntry>
)

/** A record read from the stream; [batch] is null when it is malformed or of another version. */
public data class ReadBatch(val offset: Long, val batch: ClaimBatch?)
