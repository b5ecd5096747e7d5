package org.wisteriahinge.core.call

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.map
import java.security.MessageDigest
import java.time.Instant
import org.wisteriahinge.core.model.Configuration
import org.wisteriahinge.core.model.CredentialOwner
import org.wisteriahinge.core.model.Customer
import org.wisteriahinge.core.model.Customers
import org.wisteriahinge.core.model.KeyedCustomer
import org.wisteriahinge.core.model.MatchedOperation
import org.wisteriahinge.core.model.Plan
import org.wisteriahinge.core.model.RefusalReason
import org.wisteriahinge.core.model.Repeatability
import org.wisteriahinge.core.model.RevisionNumber
import org.wisteriahinge.core.model.Standing

/** Maximum depth of nested calls; a deeper call is most likely a loop. */
public const val MAX_CALL_DEPTH: Int = 24

/**
 * The customer on whose behalf a call runs, with the plan in force.
 *
 * [isOpen] marks callers of routes, which have no plan: [plan] is a placeholder, and so is
 * [customer] unless the caller presented the API key of [keyed].
 */
public data class EntitledCaller(
    val customer: Customer,
    val plan: Plan,
    val isOpen: Boolean = false,
    val keyed: KeyedCustomer? = null
)

/** A call that passed all checks that depend only on the request and the operators' lists. */
internal data class CheckedCall(val caller: EntitledCaller, val matched: MatchedOperation)

/** Authenticates [request] and checks its operation, depth, deadline and idempotency key. */
internal fun Configuration.check(
    request: CallRequest,
    now: Instant
): Result<CheckedCall, RefusalReason> = requireRevision()
    .andThen { requireCredentialOrRoute(request) }
    .andThen { customers.authenticate(request.credential) }
    .andThen { owner -> matchEntitled(owner, request) }
    .andThen { checked -> checkLimitsOfRequest(checked, request, now) }

private fun Configuration.requireRevision(): Result<Unit, RefusalReason> =
    if (revision == RevisionNumber.None) Err(RefusalReason.NotReady) else Ok(Unit)

/** A request without a credential can only be for an open route, and none matched. */
private fun Configuration.requireCredentialOrRoute(
    request: CallRequest
): Result<Unit, RefusalReason> = if (request.credential == null && !entitlements.routes.isEmpty) {
    Err(RefusalReason.UnknownOperation)
} else {
    Ok(Unit)
}

private fun Customers.authenticate(
    presented: PresentedCredential?
): Result<CredentialOwner, RefusalReason> {
    if (presented == null) return Err(RefusalReason.MissingCredential)
    val owner = owner(presented.id)
    val expected = owner?.credential?.keyedHash.orEmpty()
    return when {
        !equalInConstantTime(expected, presented.keyedHash) -> Err(RefusalReason.UnknownCredential)
        owner == null -> Err(RefusalReason.UnknownCredential)
        owner.isRevoked() -> Err(RefusalReason.RevokedCredential)
        else -> Ok(owner)
    }
}

private fun equalInConstantTime(expected: String, presented: String): Boolean =
    MessageDigest.isEqual(expected.encodeToByteArray(), presented.encodeToByteArray())

private fun CredentialOwner.isRevoked(): Boolean =
    credential.standing == Standing.Revoked || customer.standing == Standing.Revoked

private fun Configuration.matchEntitled(
    owner: CredentialOwner,
    request: CallRequest
): Result<CheckedCall, RefusalReason> {
    val plan = entitlements.plans[owner.customer.plan] ?: return Err(RefusalReason.NotEntitled)
    val matched = entitlements.match(request.method, request.path)
        ?: return Err(RefusalReason.UnknownOperation)
    if (matched.ref !in plan.operations) return Err(RefusalReason.NotEntitled)
    return Ok(CheckedCall(EntitledCaller(owner.customer, plan), matched))
}

internal fun checkLimitsOfRequest(
    checked: CheckedCall,
    request: CallRequest,
    now: Instant
): Result<CheckedCall, RefusalReason> = when {
    request.depth > MAX_CALL_DEPTH -> Err(RefusalReason.TooDeep)
    request.deadline <= now -> Err(RefusalReason.DeadlinePassed)
    else -> requireKey(checked, request)
}.map { checked }

private fun requireKey(checked: CheckedCall, request: CallRequest): Result<Unit, RefusalReason> {
    val needed = when (checked.matched.operation.repeatability) {
        Repeatability.Repeatable, Repeatability.OncePerRequest -> false
        Repeatability.AtMostOnce -> true
    }
    val missing = needed && request.idempotencyKey == null
    return if (missing) Err(RefusalReason.MissingIdempotencyKey) else Ok(Unit)
}
