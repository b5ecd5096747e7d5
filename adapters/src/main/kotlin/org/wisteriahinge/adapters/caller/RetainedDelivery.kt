package org.wisteriahinge.adapters.caller

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.respondBytes
import org.wisteriahinge.core.membership.RetainedAnswer

/** Answers a resend with the answer that was kept for the first copy. */
internal suspend fun ApplicationCall.respondRetained(answer: RetainedAnswer) {
    respondBytes(
        bytes = answer.body.toByteArray(),
        contentType = answer.contentType?.let(ContentType::parse),
        status = HttpStatusCode.fromValue(answer.status)
    )
}
