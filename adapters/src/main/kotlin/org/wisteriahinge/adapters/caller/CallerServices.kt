package org.wisteriahinge.adapters.caller

import io.netty.handler.codec.http.HttpHeaders
import org.wisteriahinge.adapters.backend.HeaderField
import org.wisteriahinge.core.call.CallCounter
import org.wisteriahinge.core.model.RefusalReason
import org.wisteriahinge.core.model.RequestLimits

/** What all connections of callers use. */
internal class CallerServices(
    val settings: CallerServerSettings,
    private val parts: CallerServerParts,
    val bounds: () -> RequestLimits
) {
    val gateway = parts.gateway
    val backend = parts.backend
    val loop = parts.backend.loop
    val clock = parts.clock
    val hasher = parts.hasher
    val observer = parts.observer
    val answerListener = parts.answerListener
    val dialect = settings.dialect
    val rules = HeaderRules(settings.dialect)
    val bodyMemory = BodyMemory(settings.body)

    fun countRefused(reason: RefusalReason) {
        parts.counters.perform(CallCounter.Refused(reason))
    }
}

/** The headers of a message of the HTTP codec. */
internal fun HttpHeaders.toFields(): List<HeaderField> =
    entries().map { HeaderField(it.key, it.value) }
