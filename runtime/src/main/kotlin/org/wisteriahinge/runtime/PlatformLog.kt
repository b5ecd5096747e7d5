package org.wisteriahinge.runtime

import com.github.michaelbull.result.Result
import java.time.Duration
import kotlinx.collections.immutable.PersistentList

/** A stream of the platform's log service. */
public sealed class LogStream(public val wireName: String) {
    public data object Configuration : LogStream("configuration")
    public data object ConfigurationSnapshot : LogStream("configuration-snapshot")
    public data object Claims : LogStream("claims")
    public data object Shares : LogStream("shares")
}

/** A record read from a stream. Offsets are consecutive within a stream. */
public class LogRecord(public val offset: Long, public val payload: ByteArray)

/** The offsets that a stream retains: from [earliest], inclusive, to [next], exclusive. */
public data class LogBounds(val earliest: Long, val next: Long)

/** Why an operation on the log failed. */
public sealed class LogFailure(public val message: String) {
    /** The service refused the operation or could not be reached; there was no effect. */
    public class Unavailable(detail: String) :
        LogFailure("log service is unavailable ($detail); the operation had no effect, try later")

    /** The service did not answer; an append may have taken effect. */
    public class OutcomeUnknown(detail: String) :
        LogFailure("no answer from the log service ($detail); read back before appending again")

    /** Records at the requested offset have expired; [earliest] is the first retained one. */
    public class Expired(public val earliest: Long) :
        LogFailure("requested records have expired; read from offset $earliest")
}

/** The platform's append-only log. Calls block, so each duty that uses it only does this. */
public interface PlatformLog {
    /**
     * Appends [records] in order and returns the offset of the first.
     *
     * The service does not deduplicate appends; [appendId] lets the writer recognize its own append
     * when reading it back.
     */
    public fun append(
        stream: LogStream,
        appendId: String,
        records: PersistentList<ByteArray>
    ): Result<Long, LogFailure>

    /** Reads at most [max] records from [fromOffset], waiting up to [waitUpTo] for the first. */
    public fun read(
        stream: LogStream,
        fromOffset: Long,
        max: Int,
        waitUpTo: Duration
    ): Result<PersistentList<LogRecord>, LogFailure>

    /** Returns the offsets that [stream] retains. */
    public fun bounds(stream: LogStream): Result<LogBounds, LogFailure>
}
