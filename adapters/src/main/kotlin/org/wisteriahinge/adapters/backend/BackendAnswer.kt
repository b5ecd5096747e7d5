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

    /** A body that is read while it is passed on; [lengthBytes] is null when it is chunked. */
    public class Streamed(public val lengthBytes: Long?, public val pieces: AnswerPieces) :
        AnswerBody
}

/** Reads a streamed answer. Each call asks the connection for more, so a slow reader slows it. */
public fun interface AnswerPieces {
    /**
     * The next piece; null after the last one.
     *
     * @throws TruncatedAnswerException if the answer ended early.
     */
    public suspend fun next(): ByteArray?
}

/** The target's answer ended before its declared end. */
public class TruncatedAnswerException(detail: String) :
    IOException("the answer ended early ($detail); the caller's connection is to be aborted")

/** An attempt brought no answer; [failure] says what is known about its execution. */
public class AttemptFailedException(public val failure: AttemptFailure, detail: String) :
    IOException("${failure.wireName}: $detail")
