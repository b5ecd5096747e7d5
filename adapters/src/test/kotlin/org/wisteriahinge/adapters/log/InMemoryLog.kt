package org.wisteriahinge.adapters.log

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import java.time.Duration
import java.util.concurrent.atomic.AtomicReference
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.wisteriahinge.runtime.LogBounds
import org.wisteriahinge.runtime.LogFailure
import org.wisteriahinge.runtime.LogRecord
import org.wisteriahinge.runtime.LogStream
import org.wisteriahinge.runtime.PlatformLog

/** How the next append of [InMemoryLog] fails. */
internal sealed interface AppendFault {
    data object None : AppendFault
    data object Unavailable : AppendFault

    /** The record is appended, but the caller gets no answer. */
    data object AnswerLost : AppendFault

    /** The record is not appended, and the caller gets no answer. */
    data object RequestLost : AppendFault
}

private data class InMemoryStream(
    val records: PersistentList<ByteArray> = persistentListOf(),
    val earliest: Long = 0
) {
    val bounds get() = LogBounds(earliest, earliest + records.size)
}

/** A log in memory. Tests can make its appends fail and its records expire. */
internal class InMemoryLog : PlatformLog {
    private val streams =
        AtomicReference<PersistentMap<LogStream, InMemoryStream>>(persistentHashMapOf())
    private val fault = AtomicReference<AppendFault>(AppendFault.None)
    private val beforeAppend = AtomicReference<(() -> Unit)?>(null)

    fun failNextAppend(next: AppendFault) = fault.set(next)

    /** Runs [action] once, directly before the next append takes effect. */
    fun beforeNextAppend(action: () -> Unit) = beforeAppend.set(action)

    /** Drops the records of [stream] before [earliest]. */
    fun expire(stream: LogStream, earliest: Long) {
        streams.getAndUpdate { all ->
            val old = all[stream] ?: InMemoryStream()
            val dropped = (earliest - old.earliest).toInt()
            all.put(stream, InMemoryStream(old.records.drop(dropped).toPersistentList(), earliest))
        }
    }

    /** Discards all records. The streams restart at offset 0. */
    fun reset() = streams.set(persistentHashMapOf())

    override fun append(
        stream: LogStream,
        appendId: String,
        records: PersistentList<ByteArray>
    ): Result<Long, LogFailure> {
        beforeAppend.getAndSet(null)?.invoke()
        return when (fault.getAndSet(AppendFault.None)) {
            AppendFault.None -> Ok(write(stream, records))
            AppendFault.Unavailable -> Err(LogFailure.Unavailable("test"))
            AppendFault.RequestLost -> Err(LogFailure.OutcomeUnknown("test"))
            AppendFault.AnswerLost -> {
                write(stream, records)
                Err(LogFailure.OutcomeUnknown("test"))
            }
        }
    }

    private fun write(stream: LogStream, records: PersistentList<ByteArray>): Long {
        val before = streams.getAndUpdate { all ->
            val old = all[stream] ?: InMemoryStream()
            all.put(stream, old.copy(records = old.records.addAll(records)))
        }
        return (before[stream] ?: InMemoryStream()).bounds.next
    }

    override fun read(
        stream: LogStream,
        fromOffset: Long,
        max: Int,
        waitUpTo: Duration
    ): Result<PersistentList<LogRecord>, LogFailure> {
        val current = streams.get()[stream] ?: InMemoryStream()
        if (fromOffset < current.earliest) return Err(LogFailure.Expired(current.earliest))
        val skipped = (fromOffset - current.earliest).toInt()
        return Ok(
            current.records.drop(skipped).take(max)
                .mapIndexed { index, payload -> LogRecord(fromOffset + index, payload) }
                .toPersistentList()
        )
    }

    override fun bounds(stream: LogStream): Result<LogBounds, LogFailure> =
        Ok((streams.get()[stream] ?: InMemoryStream()).bounds)
}
