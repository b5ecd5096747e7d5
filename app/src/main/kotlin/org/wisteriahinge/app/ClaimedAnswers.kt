package org.wisteriahinge.app

import org.wisteriahinge.adapters.caller.AnswerListener
import org.wisteriahinge.adapters.caller.CapturedAnswer
import org.wisteriahinge.core.call.CallEvent
import org.wisteriahinge.core.call.CallRequest
import org.wisteriahinge.core.membership.RetainedAnswer
import org.wisteriahinge.core.membership.RetainedBody
import org.wisteriahinge.runtime.CallMessage
import org.wisteriahinge.runtime.Ring

/** Hands whole answers to requests with an idempotency key to `calls`, for later resends. */
internal class ClaimedAnswers(override val maxBytes: Int, private val calls: Ring<CallMessage>) :
    AnswerListener {
    override fun wants(request: CallRequest): Boolean = request.idempotencyKey != null

    override fun delivered(request: CallRequest, answer: CapturedAnswer) {
        val contentType =
            answer.headers.firstOrNull { it.name.equals("Content-Type", ignoreCase = true) }
        val retained =
            RetainedAnswer(answer.status, contentType?.value, RetainedBody(answer.body))
        calls.offerReserved(CallMessage(CallEvent.AnswerCaptured(request.callId, retained)))
    }
}
