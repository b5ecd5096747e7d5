package org.wisteriahinge.runtime

import com.github.michaelbull.result.Result
import java.time.Duration
import kotlinx.collections.immutable.PersistentList

/** A record of a [KeyedTopic]; a null [value] removes the key. Offsets are consecutive. */
public class KeyedRecord(
    public val key: String,
    public val offset: Long,
    public val value: ByteArray?
)

/** Records read from a topic; the next read starts at [nextOffset]. */
public class TopicRecords(
    public val records: PersistentList<KeyedRecord>,
    public val nextOffset: Long
)

/** Why a topic could not be read. */
public sealed class TopicFailure(public val message: String) {
    /** The topic did not answer or refused the read, which may be repeated. */
    public class Unavailable(detail: String) :
        TopicFailure("topic cannot be read ($detail); the read is tried again")

    /** The requested records are no longer retained. */
    public class Expired(firstOffset: Long) :
        TopicFailure("records before offset $firstOffset have expired; read the newest instead")
}

/** A topic that retains the newest record of each key. Calls block. */
public interface KeyedTopic {
    /** Reads the newest record of each key. */
    public fun newest(): Result<TopicRecords, TopicFailure>

    /** Reads the records from the offset [from], waiting up to [waitUpTo] for the first. */
    public fun changes(from: Long, waitUpTo: Duration): Result<TopicRecords, TopicFailure>
}
