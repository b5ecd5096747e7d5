package org.wisteriahinge.core.call

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import java.time.Instant
import org.wisteriahinge.core.keys.KeyTrust
import org.wisteriahinge.core.model.Configuration
import org.wisteriahinge.core.model.ForwardedIdentity
import org.wisteriahinge.core.model.KeyHash
import org.wisteriahinge.core.model.KeyedCustomer
import org.wisteriahinge.core.model.KeyedCustomers
import org.wisteriahinge.core.model.RefusalReason
import org.wisteriahinge.core.model.Route

/** The customer whose key [request] for [route] presents at [now]; null if it needs none. */
internal fun CallsState.customerOf(
    request: CallRequest,
    route: Route?,
    now: Instant
): Result<KeyedCustomer?, RefusalReason> {
    val customers = configuration.keyed ?: return Ok(null)
    if (route?.isPublic == true) return Ok(null)
    return customers.ownerOf(request.apiKey, keyTrust, now)
}

/** An old configuration tells neither which keys were taken away nor which were added. */
private fun KeyedCustomers.ownerOf(
    key: KeyHash?,
    trust: KeyTrust,
    now: Instant
): Result<KeyedCustomer, RefusalReason> = when {
    key == null -> Err(RefusalReason.MissingCredential)
    !trust.acceptsKeys(now) -> Err(RefusalReason.ConfigurationTooOld)
    else -> owner(key)?.let { Ok(it) } ?: Err(RefusalReason.UnknownCredential)
}

/** The route in force for [request]; null if there is none. */
internal fun Configuration.routeOf(request: CallRequest): Route? =
    request.host?.let { entitlements.routes.match(it, request.path) }

/**
 * What a target learns about the caller of [call] if an attempt starts at [now], or why none may.
 *
 * The key is looked up again, because it may have been taken away since the call arrived. Of a call
 * that was handed over, the sender decided this.
 */
internal fun CallsState.identityOf(
    call: CallInProgress,
    now: Instant
): Result<ForwardedIdentity, RefusalReason> =
    when (val decided = call.request.handover?.identity ?: ForwardedIdentity.AsSent) {
        is ForwardedIdentity.OfCustomer, ForwardedIdentity.Anonymous -> Ok(decided)
        ForwardedIdentity.AsSent -> identityInForce(call, now)
    }

private fun CallsState.identityInForce(
    call: CallInProgress,
    now: Instant
): Result<ForwardedIdentity, RefusalReason> {
    val admitted = call.caller.keyed
    val customers = configuration.keyed ?: return Ok(admitted.identity())
    val owner = customers.ownerOf(call.request.apiKey, keyTrust, now)
    // A call whose route was removed since it arrived goes on as it was admitted.
    val needsNoKey = configuration.routeOf(call.request)?.isPublic ?: (admitted == null)
    return if (needsNoKey) {
        Ok(ForwardedIdentity.Anonymous)
    } else {
        owner.map { ForwardedIdentity.OfCustomer(it.id) }
    }
}

/** The identity where the configuration no longer lists customers. */
private fun KeyedCustomer?.identity(): ForwardedIdentity =
    if (this == null) ForwardedIdentity.AsSent else ForwardedIdentity.OfCustomer(id)

/** The identity of an attempt that has passed the checks; a key is never passed on by default. */
internal fun CallsState.identityOrAnonymous(call: CallInProgress, now: Instant): ForwardedIdentity =
    identityOf(call, now).getOrElse { ForwardedIdentity.Anonymous }

/**
 * When an attempt with [identity] must have been sent that starts at [now]; null if at any time. A
 * call that was handed over was in time when its sender decided on it.
 */
internal fun CallsState.keySendBy(
    call: CallInProgress,
    identity: ForwardedIdentity,
    now: Instant
): Instant? = when (identity) {
    ForwardedIdentity.AsSent, ForwardedIdentity.Anonymous -> null
    is ForwardedIdentity.OfCustomer -> if (call.request.handover == null) {
        keyTrust.sendBy(now)
    } else {
        null
    }
}
