package org.wisteriahinge.adapters.backend

import java.io.IOException
import kotlinx.collections.immutable.PersistentList
import org.wisteriahinge.core.call.AttemptFailure

/** The answer of a target: its head, and its body or the means to read it. */
public class BackendAnswer(
    public val status: Int,
    public val headers: PersistentList<HeaderField>,
    public val body: AnswerBody
) {
    /** The first header called [name]; null when there is none. */
    public fun header(name: String): String? =
        headers.firstOrNull { it.name.equals(name, ignoreCase = true) }?.value
}

/** The body of a target's answer. */
public sealed interface AnswerBody {
    /** No body follows; [lengthBytes] is the declared length of the body that a GET would bring. */
    public data class Absent(val lengthBytes: Long?) : AnswerBody

    /** A short body that arrived completely. */
    public class Whole(public val bytes: ByteArray) : AnswerBody

    /**
     * A body that is received in pieces once [flow] is opened; [lengthBytes] is null when it is
     * chunked.
     */
    public class Streamed(public val lengthBytes: Long?, public val flow: AnswerFlow) : AnswerBody
}

/** Opens and closes the flow of a streamed answer, so that a slow reader slows its target. */
public interface AnswerFlow {
    public fun resume()

    public fun pause()
}

/**
 * Follows one exchange with a target. Called on the I/O thread; must not block.
 *
 * Either [failed] or [answered] is called once. After an answer with a streamed body, [received]
 * follows for each piece, then [completed] or [truncated].
 */
public interface AnswerObserver {
    public fun answered(answer: BackendAnswer)

    public fun failed(failure: AttemptFailure, detail: String)

    public fun received(piece: ByteArray)

    public fun completed()

    /** The answer ended before its declared end. */
    public fun truncated(detail: String)
}

/** A request brought no answer; [failure] says what is known about its execution. */
public class AttemptFailedException(public val failure: AttemptFailure, detail: String) :
    IOException("${failure.wireName}: $detail")
