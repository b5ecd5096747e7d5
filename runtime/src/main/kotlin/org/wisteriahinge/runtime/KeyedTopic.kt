package org.wisteriahinge.runtime

import com.github.michaelbull.result.Result
import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.PersistentList
import org.wisteriahinge.core.watch.TopicPosition

/**
 * A record of a [KeyedTopic]; a null [value] removes the key. Offsets are consecutive within an
 * era.
 */
public class KeyedRecord(
    public val key: String,
    public val position: TopicPosition,
    public val value: ByteArray?
)

/**
 * Records read from a topic, all of one era; the next read starts at [next].
 *
 * With them, all that was written before [currentAsOf] is known; null if the source does not tell,
 * or has more records.
 */
public class TopicRecords(
    public val records: PersistentList<KeyedRecord>,
    public val next: TopicPosition,
    public val currentAsOf: Instant?
)

/** Why a topic could not be read. */
public sealed class TopicFailure(public val message: String) {
    /** The topic did not answer or refused the read, which may be repeated. */
    public class Unavailable(detail: String) :
        TopicFailure("topic cannot be read ($detail); the read is tried again")

    /** The requested records are no longer retained, or are of an era that ended. */
    public class Expired(detail: String) :
        TopicFailure("position not held ($detail); the newest records are read instead")
}

/** A topic that retains the newest record of each key. Calls block for up to `timeout`. */
public interface KeyedTopic {
    /** Reads the newest record of each key. */
    public fun newest(timeout: Duration): Result<TopicRecords, TopicFailure>

    /** Reads the records from [from] on, waiting up to [waitUpTo] for the first. */
    public fun changes(
        from: TopicPosition,
        waitUpTo: Duration,
        timeout: Duration
    ): Result<TopicRecords, TopicFailure>
}
