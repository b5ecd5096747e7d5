package org.wisteriahinge.core.call

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import org.wisteriahinge.core.model.Configuration
import org.wisteriahinge.core.model.ForwardedIdentity
import org.wisteriahinge.core.model.KeyedCustomer
import org.wisteriahinge.core.model.RefusalReason
import org.wisteriahinge.core.model.Route

/** The customer whose key [request] for [route] presents; null if it needs none. */
internal fun Configuration.customerOf(
    request: CallRequest,
    route: Route?
): Result<KeyedCustomer?, RefusalReason> {
    val customers = keyed ?: return Ok(null)
    if (route?.isPublic == true) return Ok(null)
    val key = request.apiKey ?: return Err(RefusalReason.MissingCredential)
    return customers.owner(key)?.let { Ok(it) } ?: Err(RefusalReason.UnknownCredential)
}

/** The route in force for [request]; null if there is none. */
internal fun Configuration.routeOf(request: CallRequest): Route? =
    request.host?.let { entitlements.routes.match(it, request.path) }

/**
 * What a target learns about the caller of [call] if an attempt starts now, or why none may start.
 *
 * The key is looked up again, because it may have been taken away since the call arrived. Of a call
 * that was handed over, the sender decided this.
 */
internal fun CallsState.identityOf(call: CallInProgress): Result<ForwardedIdentity, RefusalReason> =
    when (val decided = call.request.handover?.identity ?: ForwardedIdentity.AsSent) {
        is ForwardedIdentity.OfCustomer, ForwardedIdentity.Anonymous -> Ok(decided)
        ForwardedIdentity.AsSent -> identityInForce(call)
    }

private fun CallsState.identityInForce(
    call: CallInProgress
): Result<ForwardedIdentity, RefusalReason> {
    val admitted = call.caller.keyed
    val customers = configuration.keyed
        ?: return Ok(
            admitted?.let {
                ForwardedIdentity.OfCustomer(it.id)
            } ?: ForwardedIdentity.AsSent
        )
    val owner = call.request.apiKey?.let(customers::owner)
    if (admitted != null && owner != null) return Ok(ForwardedIdentity.OfCustomer(owner.id))
    val route = configuration.routeOf(call.request)
    // A call whose route was removed since it arrived goes on as it was admitted.
    val needsNoKey = route?.isPublic ?: (admitted == null)
    return when {
        needsNoKey -> Ok(ForwardedIdentity.Anonymous)
        owner != null -> Ok(ForwardedIdentity.OfCustomer(owner.id))
        call.request.apiKey == null -> Err(RefusalReason.MissingCredential)
        else -> Err(RefusalReason.UnknownCredential)
    }
}

/** The identity of an attempt that has passed the checks; a key is never passed on by default. */
internal fun CallsState.identityOrAnonymous(call: CallInProgress): ForwardedIdentity =
    identityOf(call).getOrElse { ForwardedIdentity.Anonymous }
