package org.wisteriahinge.core.call

import java.time.Instant
import org.wisteriahinge.core.limits.CustomerUsage
import org.wisteriahinge.core.limits.DEMAND_REPORT_INTERVAL
import org.wisteriahinge.core.limits.LimitScope
import org.wisteriahinge.core.limits.LimitVerdict
import org.wisteriahinge.core.limits.UsableShares
import org.wisteriahinge.core.limits.acquire
import org.wisteriahinge.core.limits.demands
import org.wisteriahinge.core.limits.withCredit
import org.wisteriahinge.core.model.Allowance
import org.wisteriahinge.core.model.CustomerId
import org.wisteriahinge.core.model.Execution
import org.wisteriahinge.core.model.Refusal
import org.wisteriahinge.core.model.RefusalReason

/**
 * Charges the call to its customer's share of the plan, or refuses it if the share is used up.
 *
 * A body of unknown length is charged as the largest accepted one. If the share does not cover it,
 * the refusal asks the caller to declare a length.
 */
internal fun CallsState.enterLimits(call: CallInProgress, now: Instant): StageOutcome {
    if (call.caller.isOpen) return StageOutcome.Passed(CallsDecision(this))
    val customer = call.caller.customer.id
    val length = call.request.bodyBytes
    val bytes = length ?: limits.settings.unknownBodyBytes
    return when (val verdict = limits.acquire(customer, call.caller.plan.allowance, bytes, now)) {
        is LimitVerdict.Admitted -> StageOutcome.Passed(
            CallsDecision(
                withUse(customer, verdict.usage).withCall(call.copy(countsAgainstPlan = true))
            )
        )
        is LimitVerdict.Refused -> StageOutcome.Refused(
            CallsDecision(withUse(customer, verdict.usage)),
            refusalFor(verdict.reason, length)
        )
    }
}

private fun CallsState.refusalFor(reason: RefusalReason, length: Long?): Refusal =
    if (length == null && reason == RefusalReason.BytesExceeded) {
        Refusal(RefusalReason.LengthRequired, Execution.NotRun)
    } else {
        Refusal(reason, Execution.NotRun, limits.settings.retryAfter)
    }

/** Stops counting the call against its customer's concurrent calls. */
internal fun CallsState.leaveLimits(call: CallInProgress): CallsDecision {
    val customer = call.caller.customer.id
    val usage = limits.usage[customer]
    if (!call.countsAgainstPlan || usage == null) return CallsDecision(this)
    return CallsDecision(withUse(customer, usage.copy(inProgress = usage.inProgress - 1)))
}

private fun CallsState.withUse(customer: CustomerId, usage: CustomerUsage): CallsState =
    copy(limits = limits.copy(usage = limits.usage.put(customer, usage)))

/**
 * Applies the shares that may be used from now on.
 *
 * Buckets are first refilled at the previous shares and then capped to the new ones, so that no
 * tokens move along with a share. A customer's bucket starts to fill when its share arrives; only
 * what no instance held before is full at once.
 */
internal fun CallsState.sharesChanged(event: CallEvent.SharesChanged, now: Instant): CallsState {
    val before = refilled(limits.usage.keys, now)
    val scope = LimitScope.Leased(event.shares)
    return before.copy(limits = before.limits.copy(scope = scope))
        .credited(event.shares, now)
        .refilled(limits.usage.keys + event.shares.leased.keys, now)
}

private fun CallsState.credited(shares: UsableShares, now: Instant): CallsState {
    val allowances = allowances()
    return shares.leased.entries.fold(this) { state, (customer, share) ->
        allowances[customer]
            ?.let { state.copy(limits = state.limits.withCredit(customer, share, it, now)) }
            ?: state
    }
}

private fun CallsState.refilled(customers: Set<CustomerId>, now: Instant): CallsState {
    val allowances = allowances()
    return customers.fold(this) { state, customer ->
        allowances[customer]
            ?.let { state.withUse(customer, state.limits.filled(customer, it, now)) }
            ?: state
    }
}

private fun CallsState.allowances(): Map<CustomerId, Allowance> =
    configuration.customers.byId.values.mapNotNull { customer ->
        configuration.entitlements.plans[customer.plan]?.let { customer.id to it.allowance }
    }.toMap()

/** Reports the customers' demand once per period; not needed where the whole plan is used here. */
internal fun CallsState.reportDemand(now: Instant): CallsDecision {
    val first = limits.reportedAt == Instant.MIN
    val due = first || now >= limits.reportedAt.plus(DEMAND_REPORT_INTERVAL)
    return when (limits.scope) {
        is LimitScope.WholePlan -> CallsDecision(this)
        is LimitScope.Leased -> if (due) report(first, now) else CallsDecision(this)
    }
}

private fun CallsState.report(first: Boolean, now: Instant): CallsDecision {
    val since = if (first) limits.copy(reportedAt = now.minus(DEMAND_REPORT_INTERVAL)) else limits
    val (counted, demands) = since.demands(allowances(), now)
    return CallsDecision(copy(limits = counted)).emit(CallEffect.ReportDemand(demands))
}
