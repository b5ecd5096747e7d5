package org.wisteriahinge.runtime

import com.github.michaelbull.result.Result
import java.time.Duration
import kotlinx.collections.immutable.PersistentList

/** A record of a [KeyedTopic]; a [value] of null removes the key. Offsets grow by 1. */
public class KeyedRecord(
    public val key: String,
    public val offset: Long,
    public val value: ByteArray?
)

/** Records of a topic; what follows them begins at [nextOffset]. */
public class TopicRecords(
    public val records: PersistentList<KeyedRecord>,
    public val nextOffset: Long
)

/** Why a topic could not be read. */
public sealed class TopicFailure(public val message: String) {
    /** No answer, or a refusal; the read may be tried again. */
    public class Unavailable(detail: String) :
        TopicFailure("topic cannot be read ($detail); the read is tried again")

    /** The records asked for are no longer kept. */
    public class Expired(firstOffset: Long) :
        TopicFailure("records before offset $firstOffset have expired; read the newest instead")
}

/** A topic of keyed records, of which the newest of each key is kept. Calls block. */
public interface KeyedTopic {
    /** The newest record of each key. */
    public fun newest(): Result<TopicRecords, TopicFailure>

    /** The records from [from] on, waiting up to [waitUpTo] for the first. */
    public fun changes(from: Long, waitUpTo: Duration): Result<TopicRecords, TopicFailure>
}
