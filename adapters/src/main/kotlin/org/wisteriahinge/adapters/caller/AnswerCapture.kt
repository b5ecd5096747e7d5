package org.wisteriahinge.adapters.caller

import java.io.ByteArrayOutputStream
import kotlinx.collections.immutable.toPersistentList
import org.wisteriahinge.adapters.backend.BackendAnswer
import org.wisteriahinge.core.call.CallRequest

/** Copies the body of one answer while it is passed on. */
internal sealed interface AnswerCapture {
    /** Takes the next piece of the body. */
    fun append(piece: ByteArray)

    /** The whole answer was passed on. */
    fun complete(answer: BackendAnswer, rules: HeaderRules)

    /** Nobody wants a copy. */
    data object Disabled : AnswerCapture {
        override fun append(piece: ByteArray) = Unit

        override fun complete(answer: BackendAnswer, rules: HeaderRules) = Unit
    }

    /** Copies for [listener] as long as its bound is kept. */
    class Bounded(private val request: CallRequest, private val listener: AnswerListener) :
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
        fun of(request: CallRequest, listener: AnswerListener?): AnswerCapture =
            if (listener?.shouldCapture(request) == true) Bounded(request, listener) else Disabled
    }
}
