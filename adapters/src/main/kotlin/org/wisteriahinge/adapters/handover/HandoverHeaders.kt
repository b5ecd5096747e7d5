@file:OptIn(ExperimentalSerializationApi::class)

package org.wisteriahinge.adapters.handover

import java.time.Duration
import java.util.Base64
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import org.wisteriahinge.core.call.AttemptFailure
import org.wisteriahinge.core.handover.HandedOverCall
import org.wisteriahinge.core.model.CallBounds
import org.wisteriahinge.core.model.CustomerId
import org.wisteriahinge.core.model.Execution
import org.wisteriahinge.core.model.ForwardedIdentity
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.core.model.OperationId
import org.wisteriahinge.core.model.Refusal
import org.wisteriahinge.core.model.RefusalReason
import org.wisteriahinge.core.model.Repeatability
import org.wisteriahinge.core.model.ServiceId

/** Headers between instances; a caller's or target's headers of these names are not passed on. */
internal object HandoverHeaders {
    /** In a request: what the sender decided on the call, and the receiver's token. */
    const val CALL = "Wisteriahinge-Handover"

    /** In an answer that the receiver itself generated: whether the request ran, and the reason. */
    const val REFUSAL = "Wisteriahinge-Handover-Refusal"
}

private const val NOT_RUN = "not_run"
private const val MAY_HAVE_RUN = "may_have_run"

/** A handed-over call as received, with the [token] that its sender presented. */
internal data class PresentedHandover(val token: String, val call: HandedOverCall)

/**
 * CBOR form of a [PresentedHandover], which is sent in base64.
 *
 * With [customer], or with [isAnonymous] for a call that needs no key, the sender has checked the
 * caller's key. Senders of versions before API keys send neither.
 */
@Serializable
private class WireHandover(
    val token: String,
    val from: String,
    val service: String,
    val operation: String,
    val repeatability: WireRepeatability,
    val maxTargets: Int?,
    val objectiveMillis: Long?,
    val priority: Int,
    val callerAddress: String?,
    val customer: String? = null,
    val isAnonymous: Boolean = false
)

@Serializable
private enum class WireRepeatability {
    REPEATABLE,
    AT_MOST_ONCE,
    ONCE_PER_REQUEST
}

private val cbor = Cbor { ignoreUnknownKeys = true }

/** The value of [HandoverHeaders.CALL] for [handover]. */
internal fun encodeHandover(handover: PresentedHandover): String {
    val call = handover.call
    val wire = WireHandover(
        handover.token,
        call.from.value,
        call.service.value,
        call.operation.value,
        call.repeatability.toWire(),
        call.bounds.maxTargets,
        call.bounds.objective?.toMillis(),
        call.bounds.priority,
        call.callerAddress,
        call.identity.customerName(),
        isAnonymous = call.identity == ForwardedIdentity.Anonymous
    )
    val bytes = cbor.encodeToByteArray(WireHandover.serializer(), wire)
    return Base64.getEncoder().encodeToString(bytes)
}

/** Decodes what [encodeHandover] encoded; null if [value] is malformed. */
internal fun decodeHandover(value: String): PresentedHandover? = try {
    val bytes = Base64.getDecoder().decode(value)
    cbor.decodeFromByteArray(WireHandover.serializer(), bytes).toHandover()
} catch (_: IllegalArgumentException) {
    null
} catch (_: SerializationException) {
    null
}

private fun WireHandover.toHandover() = PresentedHandover(
    token,
    HandedOverCall(
        InstanceId(from),
        ServiceId(service),
        OperationId(operation),
        repeatability.toModel(),
        CallBounds(
            maxTargets = maxTargets,
            objective = objectiveMillis?.let(Duration::ofMillis),
            priority = priority
        ),
        callerAddress,
        identity()
    )
)

private fun ForwardedIdentity.customerName(): String? = when (this) {
    is ForwardedIdentity.OfCustomer -> customer.value
    ForwardedIdentity.Anonymous, ForwardedIdentity.AsSent -> null
}

private fun WireHandover.identity(): ForwardedIdentity = when {
    customer != null -> ForwardedIdentity.OfCustomer(CustomerId(customer))
    isAnonymous -> ForwardedIdentity.Anonymous
    else -> ForwardedIdentity.AsSent
}

private fun Repeatability.toWire(): WireRepeatability = when (this) {
    Repeatability.Repeatable -> WireRepeatability.REPEATABLE
    Repeatability.AtMostOnce -> WireRepeatability.AT_MOST_ONCE
    Repeatability.OncePerRequest -> WireRepeatability.ONCE_PER_REQUEST
}

private fun WireRepeatability.toModel(): Repeatability = when (this) {
    WireRepeatability.REPEATABLE -> Repeatability.Repeatable
    WireRepeatability.AT_MOST_ONCE -> Repeatability.AtMostOnce
    WireRepeatability.ONCE_PER_REQUEST -> Repeatability.OncePerRequest
}

/** The value of [HandoverHeaders.REFUSAL] in the answer to a call that was handed over. */
internal fun encodeRefusal(refusal: Refusal): String {
    val execution = when (refusal.execution) {
        Execution.NotRun -> NOT_RUN
        Execution.WasRun, Execution.MayHaveRun -> MAY_HAVE_RUN
    }
    return "$execution ${refusal.reason.wireName}"
}

/** What the receiver's refusal with this header [value] means for the attempt of the sender. */
internal fun decodeRefusal(value: String): AttemptFailure {
    val execution = value.substringBefore(' ')
    val reason = value.substringAfter(' ')
    return when {
        execution != NOT_RUN -> AttemptFailure.HandoverFailed
        reason in FULL_REASONS -> AttemptFailure.Shed
        else -> AttemptFailure.HandoverDeclined
    }
}

/** Reasons that hold at every instance: the targets have no room. */
private val FULL_REASONS = setOf(
    RefusalReason.Overloaded.wireName,
    RefusalReason.TargetsAtRateLimit.wireName,
    RefusalReason.CrashesServers.wireName
)
