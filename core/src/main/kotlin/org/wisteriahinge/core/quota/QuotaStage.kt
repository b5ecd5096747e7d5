package org.wisteriahinge.core.quota

import java.time.Duration
import java.time.Instant
import java.util.SplittableRandom
import kotlinx.collections.immutable.PersistentList
import org.wisteriahinge.core.call.CallCounter
import org.wisteriahinge.core.call.CallEffect
import org.wisteriahinge.core.call.CallEnd
import org.wisteriahinge.core.call.CallEvent
import org.wisteriahinge.core.call.CallInProgress
import org.wisteriahinge.core.call.CallStage
import org.wisteriahinge.core.call.CallsDecision
import org.wisteriahinge.core.call.CallsState
import org.wisteriahinge.core.call.QuotaOutcome
import org.wisteriahinge.core.call.StageOutcome
import org.wisteriahinge.core.call.refuse
import org.wisteriahinge.core.call.resumeAfter
import org.wisteriahinge.core.handover.PeerInstance
import org.wisteriahinge.core.model.Address
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.CustomerId
import org.wisteriahinge.core.model.Execution
import org.wisteriahinge.core.model.KeyedCustomer
import org.wisteriahinge.core.model.Refusal
import org.wisteriahinge.core.model.RefusalReason

/** Longest time that a call waits for a token; two relays that do not answer fit into it. */
private val MAX_WAIT: Duration = Duration.ofMillis(400)

/** Retry delay of a call whose relays did not answer within [MAX_WAIT]. */
private val RETRY_AFTER_WAIT: Duration = Duration.ofMillis(300)

/** A token that a call got from a relay; another call may use it before [unusedUntil]. */
public data class QuotaToken(val customer: CustomerId, val unusedUntil: Instant)

/** Takes a token of the customer's quota, or asks a relay for one and suspends the call. */
internal fun CallsState.enterQuota(call: CallInProgress, now: Instant): StageOutcome {
    val charged = chargedCustomer(call) ?: return StageOutcome.Passed(CallsDecision(this))
    val quota = charged.quota ?: return StageOutcome.Passed(CallsDecision(this))
    val until = minOf(now + MAX_WAIT, call.request.deadline)
    val waiting = WaitingCall(charged.id, quota, until)
    return when (val source = quotas.sourceFor(waiting, now)) {
        is TokenSource.Here ->
            StageOutcome.Passed(withToken(call, source).then { it.askRelays(now) })
        TokenSource.Relay -> {
            val queued = quotas.waiting.put(call.request.callId, waiting)
            StageOutcome.Suspended(copy(quotas = quotas.copy(waiting = queued)).askRelays(now))
        }
        is TokenSource.Exhausted,
        is TokenSource.Unreachable -> StageOutcome.Refused(
            copy(quotas = quotas.withStandIn(waiting, now)).askRelays(now),
            refusalFor(source, call.request.callId)
        )
    }
}

/** A call is charged by the instance that its caller sent it to. */
private fun CallsState.chargedCustomer(call: CallInProgress): KeyedCustomer? =
    when (quotas.policy) {
        QuotaPolicy.Off -> null
        is QuotaPolicy.ThroughRelays ->
            call.caller.keyed?.takeIf { call.request.handover == null }
    }

private fun CallsState.withToken(call: CallInProgress, source: TokenSource.Here): CallsDecision {
    val customer = call.caller.keyed?.id ?: call.caller.customer.id
    val token = source.unusedUntil?.let { QuotaToken(customer, it) }
    return CallsDecision(copy(quotas = source.client).withCall(call.copy(quotaToken = token)))
        .emit(CallEffect.Count(CallCounter.Quota(customer, QuotaOutcome.Granted)))
}

private fun refusalFor(source: TokenSource, callId: CallId): Refusal = when (source) {
    is TokenSource.Exhausted ->
        refusal(RefusalReason.QuotaExceeded, source.retryAfter.spread(callId))
    is TokenSource.Unreachable ->
        refusal(RefusalReason.QuotaUnavailable, source.retryAfter.spread(callId))
    is TokenSource.Here,
    TokenSource.Relay -> refusal(RefusalReason.QuotaUnavailable, RETRY_AFTER_WAIT)
}

private fun refusal(reason: RefusalReason, retryAfter: Duration) =
    Refusal(reason, Execution.NotRun, retryAfter)

/** Up to twice the delay, so that callers that are refused together do not return together. */
private fun Duration.spread(callId: CallId): Duration =
    plusMillis((toMillis() * partOf(callId.value)).toLong())

/** A number from 0 to 1 that depends on [seed] only. */
internal fun partOf(seed: Long): Double = SplittableRandom(seed).nextDouble()

private fun CallsState.askRelays(now: Instant): CallsDecision {
    val (client, questions) = quotas.ask(now)
    return CallsDecision(copy(quotas = client)).emitAll(questions.map { CallEffect.AskQuota(it) })
}

/** Asks each relay for nothing, so that the first calls find connections to them. */
internal fun CallsState.greetRelays(now: Instant): CallsDecision {
    val isNeeded = quotas.contacts.isEmpty() &&
        configuration.keyed?.quotas().orEmpty().isNotEmpty()
    if (!isNeeded) return CallsDecision(this)
    val (client, questions) = quotas.askAll(now)
    return CallsDecision(copy(quotas = client)).emitAll(questions.map { CallEffect.AskQuota(it) })
}

/** Resumes the calls for which the relay granted tokens; asks other relays for the rest. */
internal fun CallsState.quotaAnswered(event: CallEvent.QuotaAnswered, now: Instant): CallsDecision {
    val (client, question) = quotas.answered(event.relay, event.askedAt, failure = null, now)
        ?: return CallsDecision(this)
    val byCustomer = question.calls.groupBy { client.waiting[it]?.customer }
    val notice = QuotaNotice.RelayBack(event.relay).takeIf { isLost(event.relay) }
    val answered = copy(quotas = client).notify(notice)
    val served = event.grants.fold(answered) { decision, grant ->
        val calls = byCustomer[grant.customer].orEmpty()
        decision.then { it.granted(grant, calls, event, now) }
    }
    // A relay of a version that knows no quotas, or an older configuration, grants nothing.
    return served.then { it.deny(question.calls, event.relay, now) }
}

private fun CallsState.granted(
    grant: QuotaGrant,
    calls: List<CallId>,
    event: CallEvent.QuotaAnswered,
    now: Instant
): CallsDecision {
    val left = (grant.tokens - calls.size).coerceAtLeast(0)
    val kept = quotas.unused(grant.customer, left, event.askedAt, now)
    val isShort = grant.tokens < calls.size
    val client = if (isShort) {
        kept.paused(event.relay, grant.customer, grant.nextTokenIn, now)
    } else {
        kept
    }
    val until = client.unusedUntil(event.askedAt)
    return calls.take(grant.tokens).fold(CallsDecision(copy(quotas = client))) { decision, id ->
        decision.then { it.resume(id, until, now) }
    }
}

private fun CallsState.resume(callId: CallId, unusedUntil: Instant, now: Instant): CallsDecision {
    val call = calls[callId] ?: return CallsDecision(this)
    return withToken(call, TokenSource.Here(quotas.without(callId), unusedUntil))
        .then { it.resumeAfter(CallStage.Quota, callId, now) }
}

/** The relay gave nothing; the calls that waited for it ask others. */
internal fun CallsState.quotaUnanswered(
    event: CallEvent.QuotaUnanswered,
    now: Instant
): CallsDecision {
    val (client, question) = quotas.answered(event.relay, event.askedAt, event.failure, now)
        ?: return CallsDecision(this)
    val notice =
        QuotaNotice.RelayLost(event.relay, event.failure).takeIf { !isLost(event.relay) }
    return copy(quotas = client).notify(notice)
        .then { it.deny(question.calls, event.relay, now) }
}

private fun CallsState.isLost(relay: Address): Boolean = quotas.contactOf(relay).failure != null

private fun CallsState.notify(notice: QuotaNotice?): CallsDecision =
    CallsDecision(this).emitAll(listOfNotNull(notice).map { CallEffect.NotifyQuota(it) })

/** Those of [calls] that still wait got no token from [relay]. */
private fun CallsState.deny(
    calls: PersistentList<CallId>,
    relay: Address,
    now: Instant
): CallsDecision {
    val denied = calls.fold(quotas) { client, id -> client.denied(id, relay) }
    return copy(quotas = denied).settleWaiting(now).then { it.askRelays(now) }
}

/** Ends the wait of the calls that no relay is left for. */
private fun CallsState.settleWaiting(now: Instant): CallsDecision =
    quotas.waiting.entries.fold(CallsDecision(this)) { decision, (id, call) ->
        decision.then { it.settle(id, call, now) }
    }

private fun CallsState.settle(id: CallId, waiting: WaitingCall, now: Instant): CallsDecision {
    val call = calls[id] ?: return CallsDecision(copy(quotas = quotas.without(id)))
    return when (val source = quotas.sourceFor(waiting, now)) {
        TokenSource.Relay -> CallsDecision(this)
        is TokenSource.Here -> withToken(call, source.copy(client = source.client.without(id)))
            .then { it.resumeAfter(CallStage.Quota, id, now) }
        is TokenSource.Exhausted,
        is TokenSource.Unreachable ->
            copy(quotas = quotas.withStandIn(waiting, now))
                .refuse(id, refusalFor(source, id), now)
    }
}

/** Refuses the calls that waited too long. */
internal fun CallsState.refuseWithoutQuota(now: Instant): CallsDecision = quotas.waiting.entries
    .filter { (_, call) -> call.until <= now }
    .fold(CallsDecision(this)) { decision, (id, _) ->
        decision.then {
            it.refuse(id, refusal(RefusalReason.QuotaUnavailable, RETRY_AFTER_WAIT), now)
        }
    }

/** Ends the wait of [call]; if it was not sent to any target, another one may use its token. */
internal fun CallsState.leaveQuota(
    call: CallInProgress,
    end: CallEnd,
    now: Instant
): CallsDecision {
    val counted = countRefusal(call, end)
    val token = call.quotaToken?.takeIf { call.attemptsStarted == 0 }
    return counted.update { state ->
        val client = state.quotas.without(call.request.callId)
        val next = token?.let { client.unusedUntil(it.customer, 1, it.unusedUntil, now) }
        state.copy(quotas = next ?: client)
    }
}

private fun CallsState.countRefusal(call: CallInProgress, end: CallEnd): CallsDecision {
    val customer = call.caller.keyed?.id ?: return CallsDecision(this)
    val outcome = when ((end as? CallEnd.Refused)?.refusal?.reason) {
        RefusalReason.QuotaExceeded -> QuotaOutcome.Exceeded
        RefusalReason.QuotaUnavailable -> QuotaOutcome.Unavailable
        else -> return CallsDecision(this)
    }
    return CallsDecision(this).emit(CallEffect.Count(CallCounter.Quota(customer, outcome)))
}

/** The number of instances changed, and which relays are in the zone of this one. */
internal fun CallsState.quotaPeersListed(peers: PersistentList<PeerInstance>): CallsState =
    when (val policy = quotas.policy) {
        QuotaPolicy.Off -> this
        is QuotaPolicy.ThroughRelays -> {
            val inZone = peers.filter { it.zone == routing.zone }.map { it.address.host }
            val near = (inZone + listOfNotNull(policy.own?.host)).toSet()
            copy(quotas = quotas.listed(peers.size + 1, near))
        }
    }
