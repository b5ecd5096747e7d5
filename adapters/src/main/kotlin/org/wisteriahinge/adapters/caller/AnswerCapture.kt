package org.wisteriahinge.adapters.caller

import java.io.ByteArrayOutputStream
import kotlinx.collections.immutable.toPersistentList
import org.wisteriahinge.adapters.backend.BackendAnswer
import org.wisteriahinge.core.call.CallRequest

/** Copies the body of one answer while it is written to the caller. */
internal sealed interface AnswerCapture {
    /** Appends the next piece of the body. */
    fun append(piece: ByteArray)

    /** Ends the copy after the whole answer was written to the caller. */
    fun complete(answer: BackendAnswer, rules: HeaderRules)

    /** Makes no copy, because no listener asked for one. */
    data object Disabled : AnswerCapture {
        override fun append(piece: ByteArray) = Unit

        override fun complete(answer: BackendAnswer, rules: HeaderRules) = Unit
    }

    /** Copies for [listener]; drops the copy once the body exceeds [AnswerListener.maxBytes]. */
    class BoundsRead(private val request: CallRequest, private val listener: AnswerListener) :
        AnswerCapture {
        private val copy = ByteArrayOutputStream()
        private var fits = true

        override fun append(piece: ByteArray) {
            fits = fits && copy.size() + piece.size <= listener.maxBytes
            if (fits) copy.write(piece) else copy.reset()
        }

        override fun complete(answer: BackendAnswer, rules: HeaderRules) {
            if (!fits) return
            val headers = rules.delivered(answer.headers).toPersistentList()
            listener.delivered(
                request,
                CapturedAnswer(answer.status, headers, copy.toByteArray())
            )
        }
    }

    companion object {
        /** The capture for [request], which copies only if [listener] asks for it. */
        fun of(request: CallRequest, listener: AnswerListener?): AnswerCapture =
            if (listener?.shouldCapture(request) ==
                true
            ) {
                BoundsRead(request, listener)
            } else {
                Disabled
            }
    }
}
