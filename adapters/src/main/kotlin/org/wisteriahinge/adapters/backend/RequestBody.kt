package org.wisteriahinge.adapters.backend

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/** The body of a caller's request. */
public sealed interface RequestBody {
    /** The length of the body; null if it is not known in advance. */
    public val lengthBytes: Long?

    /** The request has no body. */
    public data object None : RequestBody {
        override val lengthBytes: Long = 0
    }

    /** A body in memory, which can be sent any number of times. */
    public class Buffered(public val bytes: ByteArray) : RequestBody {
        override val lengthBytes: Long get() = bytes.size.toLong()
    }

    /** A body that is forwarded while it arrives and can be sent only once. */
    public class Streamed internal constructor(
        override val lengthBytes: Long?,
        internal val stream: BodyStream
    ) : RequestBody {
        /** Whether an attempt has begun to send this body; no other attempt can send it then. */
        public val isConsumed: Boolean get() = stream.isAttached
    }
}

/** Receives the pieces of a streamed body. */
internal interface BodySink {
    fun write(bytes: ByteArray)

    fun end()
}

/** The source of a streamed body; [setReading] resumes or pauses reading from it. */
internal fun interface BodySource {
    fun setReading(enabled: Boolean)
}

/**
 * Transfers a body from the caller's connection to the target's. Used on the I/O thread only.
 *
 * Pieces that arrive before a sink is attached are buffered, and reading from the source is paused.
 */
internal class BodyStream(private val source: BodySource) {
    private var sink: BodySink? = null
    private var buffered: PersistentList<ByteArray> = persistentListOf()
    private var ended = false

    val isAttached: Boolean get() = sink != null

    fun offer(piece: ByteArray) {
        val consumer = sink
        if (consumer == null) {
            buffered = buffered.add(piece)
            source.setReading(false)
        } else {
            consumer.write(piece)
        }
    }

    fun end() {
        ended = true
        sink?.end()
    }

    /** Attaches [consumer], which receives the body from its beginning. */
    fun attach(consumer: BodySink) {
        sink = consumer
        buffered.forEach(consumer::write)
        buffered = persistentListOf()
        if (ended) consumer.end() else source.setReading(true)
    }

    /** Resumes or pauses reading from the source, depending on the room at the sink. */
    fun setReading(enabled: Boolean) = source.setReading(enabled)
}
