package org.wisteriahinge.adapters.backend

import java.io.IOException
import kotlinx.collections.immutable.PersistentList
import org.wisteriahinge.core.call.AttemptFailure

/** The answer of a target: its head, and its body or the [AnswerFlow] that delivers the body. */
public class BackendAnswer(
    public val status: Int,
    public val headers: PersistentList<HeaderField>,
    public val body: AnswerBody
) {
    /** The value of the first header [name], ignoring case; null if there is none. */
    public fun header(name: String): String? =
        headers.firstOrNull { it.name.equals(name, ignoreCase = true) }?.value
}

/** The body of a target's answer. */
public sealed interface AnswerBody {
    /** No body, as for HEAD, 204 and 304; [lengthBytes] is the declared length. */
    public data class Absent(val lengthBytes: Long?) : AnswerBody

    /** A short body that was received completely. */
    public class Whole(public val bytes: ByteArray) : AnswerBody

    /**
     * A body that is delivered in pieces after [flow] is resumed; [lengthBytes] is null if the
     * answer declared no length.
     */
    public class Streamed(public val lengthBytes: Long?, public val flow: AnswerFlow) : AnswerBody
}

/** Flow control of a streamed answer, by which a slow caller applies back-pressure to a target. */
public interface AnswerFlow {
    /** Delivers pieces from now on; initially the flow is paused. */
    public fun resume()

    /** Stops reading from the target and delivering pieces. */
    public fun pause()

    /** Closes the connection without reading the rest. */
    public fun discard()
}

/**
 * Is notified of the progress of one exchange with a target. Called on the I/O thread; must not
 * block.
 *
 * Exactly one of [failed] and [answered] is called, once, unless the exchange is abandoned before.
 * After an answer with a streamed body, [received] follows for each piece, then [completed] or
 * [truncated].
 */
public interface AnswerObserver {
    public fun answered(answer: BackendAnswer)

    public fun failed(failure: AttemptFailure, detail: String)

    public fun received(piece: ByteArray)

    public fun completed()

    /** The answer ended before its body was complete. */
    public fun truncated(detail: String)
}

/** Thrown when a request got no complete answer; [failure] is the cause. */
public class AttemptFailedException(public val failure: AttemptFailure, detail: String) :
    IOException("${failure.wireName}: $detail")
