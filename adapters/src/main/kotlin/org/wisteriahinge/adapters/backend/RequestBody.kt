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
    public class Whole(public val bytes: ByteArray) : RequestBody {
        override val lengthBytes: Long get() = bytes.size.toLong()
    }

    /** A body that is passed on while it arrives, once. */
    public class Once internal constructor(
        override val lengthBytes: Long?,
        internal val feed: BodyFeed
    ) : RequestBody {
        /** Whether an attempt began to send this body; no other attempt may then send it. */
        public val isUsed: Boolean get() = feed.isTaken
    }
}

/** Takes the pieces of a body that arrives. */
internal interface BodySink {
    fun piece(bytes: ByteArray)

    fun end()
}

/** Where a body comes from; [demand] says whether more of it is to be read. */
internal fun interface BodyOrigin {
    fun demand(more: Boolean)
}

/**
 * Passes a body on from the caller's connection to the target's. Used on the I/O thread only.
 *
 * Until a sink takes the body, nothing beyond the pieces that are here is read.
 */
internal class BodyFeed(private val origin: BodyOrigin) {
    private var sink: BodySink? = null
    private var early: PersistentList<ByteArray> = persistentListOf()
    private var ended = false

    val isTaken: Boolean get() = sink != null

    fun offer(piece: ByteArray) {
        val taker = sink
        if (taker == null) {
            early = early.add(piece)
            origin.demand(false)
        } else {
            taker.piece(piece)
        }
    }

    fun end() {
        ended = true
        sink?.end()
    }

    /** Hands the body to [taker] from its beginning. */
    fun take(taker: BodySink) {
        sink = taker
        early.forEach(taker::piece)
        early = persistentListOf()
        if (ended) taker.end() else origin.demand(true)
    }

    /** Says whether the taker has room for more. */
    fun demand(more: Boolean) = origin.demand(more)
}
