package org.wisteriahinge.app

import org.wisteriahinge.adapters.caller.AnswerListener
import org.wisteriahinge.adapters.caller.CallGateway
import org.wisteriahinge.adapters.caller.CapturedAnswer
import org.wisteriahinge.core.call.CallEvent
import org.wisteriahinge.core.call.CallRequest
import org.wisteriahinge.core.membership.RetainedAnswer
import org.wisteriahinge.core.membership.RetainedBody

private const val CONTENT_TYPE = "Content-Type"

/**
 * Captures answers to requests with an idempotency key and reports them to the calls duty, which
 * replays them when a request is repeated.
 */
internal class AnswerRetention(private val gateway: CallGateway, override val maxBytes: Int) :
    AnswerListener {
    override fun shouldCapture(request: CallRequest): Boolean = request.idempotencyKey != null

    override fun delivered(request: CallRequest, answer: CapturedAnswer) {
        val type = answer.headers.firstOrNull { it.name.equals(CONTENT_TYPE, ignoreCase = true) }
        val retained = RetainedAnswer(answer.status, type?.value, RetainedBody(answer.body))
        gateway.report(CallEvent.AnswerCaptured(request.callId, retained))
    }
}
