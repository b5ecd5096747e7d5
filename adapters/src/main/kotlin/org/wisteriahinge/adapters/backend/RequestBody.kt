package org.wisteriahinge.adapters.backend

import java.io.IOException
import java.util.concurrent.atomic.AtomicBoolean
import org.wisteriahinge.core.model.RefusalReason

/** Delivers a request's body in pieces; null at its end. Fails when the caller does not send it. */
public fun interface BodySource {
    public suspend fun next(): ByteArray?
}

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
    public class Once(override val lengthBytes: Long?, public val source: BodySource) :
        RequestBody {
        private val used = AtomicBoolean()

        /** Whether an attempt began to send this body; no other attempt may then send it. */
        public val isUsed: Boolean get() = used.get()

        /** Claims the body for an attempt; false when another attempt has it. */
        public fun use(): Boolean = used.compareAndSet(false, true)
    }
}

/** The caller did not send the body as announced; [reason] is told to it. */
public class BodyFaultException(public val reason: RefusalReason) :
    IOException("request body: ${reason.title}")
