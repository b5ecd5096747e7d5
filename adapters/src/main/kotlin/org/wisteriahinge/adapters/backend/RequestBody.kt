package org.wisteriahinge.adapters.backend

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/** The body of a caller's request. */
public sealed interface RequestBody {
    /** The declared length; null when it is unknown. */
    public val lengthBytes: Long?

    /** The request has no body. */
    public data object None : RequestBody {
        override val lengthBytes: Long = 0
    }

    /** The whole body in memory; it can be sent again. */
    public class Buffered(public val bytes: ByteArray) : RequestBody {
        override val lengthBytes: Long get() = bytes.size.toLong()
    }

    /** A body that is passed on while it arrives, once. */
    public class Streamed internal constructor(
        override val lengthBytes: Long?,
        internal val stream: BodyStream
    ) : RequestBody {
        /** Whether an attempt began to send this body; no other attempt may then send it. */
        public val isConsumed: Boolean get() = stream.isAttached
    }
}

/** Takes the pieces of a body that arrives. */
internal interface BodySink {
    fun write(bytes: ByteArray)

    fun end()
}

/** Where a body comes from; [setReading] says whether more of it is to be read. */
internal fun interface BodySource {
    fun setReading(enabled: Boolean)
}

/**
 * Passes a body on from the caller's connection to the target's. Used on the I/O thread only.
 *
 * Until a sink takes the body, nothing beyond the pieces that are here is read.
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

    /** Hands the body to [consumer] from its beginning. */
    fun attach(consumer: BodySink) {
        sink = consumer
        buffered.forEach(consumer::write)
        buffered = persistentListOf()
        if (ended) consumer.end() else source.setReading(true)
    }

    /** Says whether the taker has room for more. */
    fun setReading(enabled: Boolean) = source.setReading(enabled)
}
