package org.wisteriahinge.core.once

import java.time.Instant
import kotlinx.collections.immutable.PersistentList
import org.wisteriahinge.core.model.InstanceId

/** Digest of an idempotency key; the log and the peers never see the key itself. */
@JvmInline
public value class KeyDigest(public val value: String) {
    override fun toString(): String = value
}

/** Digest of customer, operation and content; equal for a request and its resends. */
@JvmInline
public value class Fingerprint(public val value: String)

/** A claim, unique over all instances because an instance id is used for one start only. */
public data class ClaimId(val instance: InstanceId, val sequence: Long)

/** One entry of a batch in the stream `claims`. */
public sealed interface ClaimEntry {
    public val id: ClaimId
    public val key: KeyDigest

    /** Claims [key]. The first claim in the log on a key that nobody holds wins. */
    public data class Claim(
        override val id: ClaimId,
        override val key: KeyDigest,
        val keyTime: Instant,
        val fingerprint: Fingerprint
    ) : ClaimEntry

    /** Gives the claim [id] back; its request certainly did not run and never will. */
    public data class Release(override val id: ClaimId, override val key: KeyDigest) : ClaimEntry
}

/**
 * One record of the stream `claims`.
 *
 * Its writer had read the stream up to but without [readOffset] at [readAt] by its clock. A reader
 * concludes that all records below [readOffset] were appended before [readAt].
 */
public data class ClaimBatch(
    val appendId: String,
    val readOffset: Long,
    val readAt: Instant,
    val entries: PersistentList<ClaimEntry>
)

/** A record read from the stream; [batch] is null when it is malformed or of another version. */
public data class ReadBatch(val offset: Long, val batch: ClaimBatch?)
