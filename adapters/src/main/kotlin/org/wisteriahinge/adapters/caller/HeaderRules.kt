package org.wisteriahinge.adapters.caller

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashSetOf
import org.wisteriahinge.adapters.WireHeaders
import org.wisteriahinge.adapters.backend.HeaderField

/** Headers that concern one connection only (RFC 9110, section 7.6.1), in lower case. */
private val HOP_BY_HOP = persistentHashSetOf(
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade"
)

/** Written anew for each message, or answered by this instance. */
private val REWRITTEN = persistentHashSetOf("content-length", "host", "expect")

/** Exchanged between instances and targets only; the sender's own values are not passed on. */
private val OWN_HEADERS = persistentHashSetOf(
    WireHeaders.TIMEOUT_MILLIS.lowercase(),
    WireHeaders.DEPTH.lowercase(),
    WireHeaders.ATTEMPT.lowercase(),
    WireHeaders.NO_RETRY.lowercase(),
    WireHeaders.LOAD.lowercase(),
    WireHeaders.NOT_RUN.lowercase()
)

private val NOT_FORWARDED = HOP_BY_HOP.addAll(REWRITTEN).addAll(OWN_HEADERS)
    .addAll(listOf("authorization", WireHeaders.IDEMPOTENCY_KEY.lowercase()))

private val NOT_DELIVERED = HOP_BY_HOP.addAll(REWRITTEN).addAll(OWN_HEADERS)

/** The caller's headers that are passed on to a target. */
internal fun List<HeaderField>.forwarded(): List<HeaderField> = without(NOT_FORWARDED)

/** The target's headers that are passed on to the caller. */
internal fun List<HeaderField>.delivered(): List<HeaderField> = without(NOT_DELIVERED)

private fun List<HeaderField>.without(names: PersistentSet<String>): List<HeaderField> {
    val named = filter { it.name.equals("Connection", ignoreCase = true) }
        .flatMap { it.value.split(',') }
        .map { it.trim().lowercase() }
    return filter { field ->
        val name = field.name.lowercase()
        name !in names && name !in named
    }
}
