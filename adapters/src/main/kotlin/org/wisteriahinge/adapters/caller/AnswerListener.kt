package org.wisteriahinge.adapters.caller

import kotlinx.collections.immutable.PersistentList
import org.wisteriahinge.adapters.backend.HeaderField
import org.wisteriahinge.core.call.CallRequest

/**
 * Receives a copy of an answer that was passed on completely.
 *
 * [maxBytes] bounds the copied body; a longer answer is not captured.
 */
public interface AnswerListener {
    public val maxBytes: Int

    /** Whether the answer to [request] is wanted; asked before the answer is passed on. */
    public fun shouldCapture(request: CallRequest): Boolean

    /** Called once the whole answer was passed on. Must not block. */
    public fun delivered(request: CallRequest, answer: CapturedAnswer)
}

/** An answer with its whole body. */
public class CapturedAnswer(
    public val status: Int,
    public val headers: PersistentList<HeaderField>,
    public val body: ByteArray
)
