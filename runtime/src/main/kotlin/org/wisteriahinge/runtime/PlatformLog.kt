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

/** A record read from a stream. Offsets grow by 1 within a stream. */
public class LogRecord(public val offset: Long, public val payload: ByteArray)

/** The retained part of a stream: from [earliest] up to but without [next]. */
public data class LogBounds(val earliest: Long, val next: Long)

/** Why an operation on the log failed. */
public sealed class LogFailure(public val message: String) {
    /** The service answered that it did not perform the operation, or could not be reached. */
    public class Unavailable(detail: String) :
        LogFailure("log service is unavailable ($detail); the operation had no effect, try later")

    /** No answer came; an append may have taken effect. */
    public class OutcomeUnknown(detail: String) :
        LogFailure("no answer from the log service ($detail); read back before appending again")

    /** Records from the requested offset on have expired; [earliest] is the first retained one. */
    public class Expired(public val earliest: Long) :
        LogFailure("requested records have expired; read from offset $earliest")
}

/** The platform's append-only log. Calls block; only duties that own this wait use it. */
public interface PlatformLog {
    /**
     * Appends [records] in order and returns the offset of the first.
     *
     * [appendId] identifies the append to its writer when it reads back; the service does not
     * deduplicate.
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

    /** The retained part of [stream]. */
    public fun bounds(stream: LogStream): Result<LogBounds, LogFailure>
}
