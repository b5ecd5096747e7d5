package org.wisteriahinge.adapters.caller

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashSetOf
import kotlinx.collections.immutable.toPersistentList
import org.wisteriahinge.adapters.AnswerValidation
import org.wisteriahinge.adapters.CallerAuthentication
import org.wisteriahinge.adapters.RetryContext
import org.wisteriahinge.adapters.WireDialect
import org.wisteriahinge.adapters.WireHeaders
import org.wisteriahinge.adapters.backend.AnswerOwnership
import org.wisteriahinge.adapters.backend.HeaderField
import org.wisteriahinge.adapters.handover.HandoverHeaders
import org.wisteriahinge.core.model.ForwardedIdentity

/** Hop-by-hop headers (RFC 9110, section 7.6.1), in lower case. */
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

/** Set anew for each message (`content-length`) or handled by this instance (`expect`). */
private val REWRITTEN = persistentHashSetOf("content-length", "expect")

private const val AUTHORIZATION = "Authorization"

private val RETRY_CONTEXT_HEADERS = listOf(
    WireHeaders.DEPTH.lowercase(),
    WireHeaders.ATTEMPT.lowercase(),
    WireHeaders.NO_RETRY.lowercase()
)

/** Selects the headers that are passed on between callers and targets that use [dialect]. */
internal class HeaderRules(private val dialect: WireDialect) {
    // The headers of the dialect are set by this instance; values from a sender are not passed on.
    private val neverPassedOn = HOP_BY_HOP.addAll(REWRITTEN).addAll(
        listOfNotNull(
            dialect.timeoutHeader.lowercase(),
            dialect.load.header.lowercase(),
            dialect.notRun.header.lowercase(),
            dialect.expectedTargetHeader?.lowercase(),
            dialect.targetId?.lowercase(),
            HandoverHeaders.CALL.lowercase(),
            HandoverHeaders.REFUSAL.lowercase()
        )
    ).addAll(retryContextHeaders())

    private val notForwarded = neverPassedOn.addAll(dialect.withheldHeaders)
        .let { if (dialect.forwardsHost) it else it.add("host") }

    private val notDelivered = neverPassedOn.add("host")

    private fun retryContextHeaders(): List<String> = when (dialect.retryContext) {
        RetryContext.Propagated -> RETRY_CONTEXT_HEADERS
        RetryContext.Omitted -> emptyList()
    }

    /** The caller's headers that are passed on to a target. */
    fun forwarded(all: List<HeaderField>): PersistentList<HeaderField> =
        all.without(notForwarded).toPersistentList()

    /** Of [forwarded] headers, those that a target gets with what it learns of the caller. */
    fun identified(
        forwarded: PersistentList<HeaderField>,
        identity: ForwardedIdentity
    ): PersistentList<HeaderField> = when (val authentication = dialect.authentication) {
        CallerAuthentication.Credential -> forwarded
        is CallerAuthentication.ApiKey -> when (identity) {
            ForwardedIdentity.AsSent -> forwarded
            ForwardedIdentity.Anonymous -> forwarded.withoutIdentity(authentication)
            is ForwardedIdentity.OfCustomer -> forwarded.withoutIdentity(authentication)
                .add(HeaderField(authentication.customerHeader, identity.customer.value))
        }
    }

    private fun PersistentList<HeaderField>.withoutIdentity(
        authentication: CallerAuthentication.ApiKey
    ): PersistentList<HeaderField> = removeAll {
        it.name.equals(AUTHORIZATION, ignoreCase = true) ||
            it.name.equals(authentication.customerHeader, ignoreCase = true)
    }

    /** The target's headers that are passed on to the caller. */
    fun delivered(all: List<HeaderField>): List<HeaderField> = all.without(notDelivered)
}

/** How the answer to a request with [headers] is told from those to other requests. */
public fun WireDialect.ownershipOf(headers: List<HeaderField>): AnswerOwnership =
    when (val validation = answerValidation) {
        AnswerValidation.None -> AnswerOwnership.NextAnswer
        is AnswerValidation.Echoed ->
            headers.firstOrNull { it.name.equals(validation.requestIdHeader, ignoreCase = true) }
                ?.let(AnswerOwnership::Repeats)
                ?: AnswerOwnership.RepeatsNothing(validation.requestIdHeader)
    }

/** Removes the fields in [names] and those that a `Connection` header names. */
private fun List<HeaderField>.without(names: PersistentSet<String>): List<HeaderField> {
    val named = filter { it.name.equals("Connection", ignoreCase = true) }
        .flatMap { it.value.split(',') }
        .map { it.trim().lowercase() }
    return filter { field ->
        val name = field.name.lowercase()
        name !in names && name !in named
    }
}
