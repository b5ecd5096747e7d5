package org.wisteriahinge.adapters.caller

import kotlinx.collections.immutable.PersistentList
import org.wisteriahinge.adapters.backend.HeaderField
import org.wisteriahinge.core.call.CallRequest

/**
 * Receives copies of the answers that were written to callers completely.
 *
 * An answer whose body is longer than [maxBytes] is not captured.
 */
public interface AnswerListener {
    public val maxBytes: Int

    /** Whether to copy the answer to [request]. Called before any part of it is written. */
    public fun shouldCapture(request: CallRequest): Boolean

    /** Called after the whole answer was written to the caller. Must not block. */
    public fun delivered(request: CallRequest, answer: CapturedAnswer)
}

/** Copy of an answer with its whole body. */
public class CapturedAnswer(
    public val status: Int,
    public val headers: PersistentList<HeaderField>,
    public val body: ByteArray
)
