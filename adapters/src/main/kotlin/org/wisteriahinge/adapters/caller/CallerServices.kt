package org.wisteriahinge.adapters.caller

import io.netty.handler.codec.http.HttpHeaders
import org.wisteriahinge.adapters.backend.HeaderField
import org.wisteriahinge.core.call.CallCounter
import org.wisteriahinge.core.model.RefusalReason
import org.wisteriahinge.core.model.RequestLimits

/** The components and settings that all connections of callers share. */
internal class CallerServices(
    val settings: CallerServerSettings,
    private val dependencies: CallerServerDependencies,
    val bounds: () -> RequestLimits
) {
    val gateway = dependencies.gateway
    val backend = dependencies.backend
    val peers = dependencies.peers
    val loop = dependencies.backend.loop
    val clock = dependencies.clock
    val hasher = dependencies.hasher
    val observer = dependencies.observer
    val answerListener = dependencies.answerListener
    val dialect = settings.dialect
    val rules = HeaderRules(settings.dialect)
    val clients = dependencies.clients
    val bodyMemory = BodyMemory(settings.body)

    fun countRefused(reason: RefusalReason) {
        dependencies.counters.perform(CallCounter.Refused(reason))
    }
}

/** Converts Netty's headers to a list of fields, in the order of the message. */
internal fun HttpHeaders.toFields(): List<HeaderField> =
    entries().map { HeaderField(it.key, it.value) }
