package org.wisteriahinge.bench.fuzz

import java.time.Duration
import org.wisteriahinge.core.call.AttemptFailure
import org.wisteriahinge.core.call.CallEffect
import org.wisteriahinge.core.call.CallEvent
import org.wisteriahinge.core.limits.LimitsEvent
import org.wisteriahinge.core.membership.RetainedAnswer
import org.wisteriahinge.core.membership.RetainedBody
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.core.model.RefusalReason
import org.wisteriahinge.core.once.ClaimSettlement
import org.wisteriahinge.core.once.OnceEffect
import org.wisteriahinge.core.once.digest

private const val LOST_PERCENT = 30
private const val HUNDRED = 100
private val SLOW_APPEND: Duration = Duration.ofMillis(500)

internal fun World.perform(from: InstanceId, effect: CallEffect): World = when (effect) {
    is CallEffect.Forward -> copy(
        oracle = oracle.forwarded(CopyRef(from, effect.callId), time)
    ).schedule(
        RING_DELAY,
        Delivery.Transmit(from, AttemptRef(CopyRef(from, effect.callId), effect.attempt))
    )
    is CallEffect.Deliver -> deliver(from, effect)
    is CallEffect.CancelAttempt -> {
        val node = nodes.getValue(from)
        update(node.copy(outstanding = node.outstanding.remove(effect.attemptId)))
    }
    is CallEffect.Refuse -> told(CopyRef(from, effect.callId), Told.Refused(effect.refusal))
    is CallEffect.DeliverRetained -> {
        val body = effect.answer.body.toByteArray().decodeToString()
        told(CopyRef(from, effect.callId), Told.Answer(body))
    }
    is CallEffect.Claim -> schedule(RING_DELAY, Delivery.Once(from, effect.request))
    is CallEffect.EndClaim -> schedule(RING_DELAY, Delivery.Once(from, effect.ended))
    is CallEffect.ReportDemand ->
        schedule(RING_DELAY, Delivery.Limits(from, LimitsEvent.DemandReported(effect.demands)))
    // The world's routing neither probes nor shares loads between instances.
    is CallEffect.Probe, is CallEffect.PublishLoads -> this
    is CallEffect.ReportQuarantine, is CallEffect.PublishQuarantineSummary,
    is CallEffect.CheckServer, is CallEffect.ShareCrashes, is CallEffect.ClearCrashes -> this
    is CallEffect.Finished, is CallEffect.Count, is CallEffect.LogCall,
    is CallEffect.NotifyRateLimit, is CallEffect.RequestRateLimitShare,
    is CallEffect.AskQuota, is CallEffect.NotifyQuota -> this
}

private fun World.told(copy: CopyRef, what: Told): World = copy(oracle = oracle.told(copy, what))

private fun World.deliver(from: InstanceId, effect: CallEffect.Deliver): World {
    val copy = CopyRef(from, effect.callId)
    val body = answers[copy] ?: return this
    val captured = RetainedAnswer(200, "text/plain", RetainedBody(body.encodeToByteArray()))
    return told(copy, Told.Answer(body))
        .schedule(
            RING_DELAY,
            Delivery.Calls(from, CallEvent.AnswerCaptured(effect.callId, captured))
        )
        .schedule(
            RING_DELAY,
            Delivery.Calls(from, CallEvent.Completed(effect.callId, effect.attemptId))
        )
}

internal fun World.perform(from: InstanceId, effect: OnceEffect): World = when (effect) {
    is OnceEffect.Append -> {
        val slow = if (logMode == LogMode.Slow) SLOW_APPEND else Duration.ZERO
        schedule(
            slow.plus(millis(random().nextInt(1, 20))),
            Delivery.AppendArrives(from, effect.batch, answered = false)
        )
    }
    is OnceEffect.Settle -> checkKnownClaim(from, effect).schedule(
        RING_DELAY,
        Delivery.Calls(from, CallEvent.ClaimSettled(effect.callId, effect.settlement))
    )
    is OnceEffect.Send -> drawn().sendToPeer(Delivery.Peer(effect.to, effect.message))
}

/** An instance that has read a claim whose request ran does not tell a resend that it did not. */
private fun World.checkKnownClaim(from: InstanceId, effect: OnceEffect.Settle): World {
    val refusal = (effect.settlement as? ClaimSettlement.Refused)?.refusal
    val reported = refusal?.reason == RefusalReason.ClaimUnavailable
    val key = oracle.requests.getValue(CopyRef(from, effect.callId)).key
    val known = nodes.getValue(from).once.ledger.held.containsKey(key.digest())
    val ran = (oracle.runs[key] ?: 0) > 0
    return copy(
        oracle = oracle.check("no false not run", !(reported && known && ran)) {
            "$from told call ${effect.callId} that $key did not run"
        }
    )
}

/** A message may be lost or arrive twice, and its random delay lets others overtake it. */
private fun World.sendToPeer(delivery: Delivery.Peer): World {
    val random = random()
    val fate = if (messagesFail) random.nextInt(HUNDRED) else HUNDRED
    val once = schedule(millis(random.nextInt(1, 50)), delivery)
    return when {
        fate < LOST_PERCENT -> this
        fate < 2 * LOST_PERCENT -> once.schedule(millis(random.nextInt(50, 2_000)), delivery)
        else -> once
    }
}

/** The instance's front end sends an attempt, unless the call was given up meanwhile. */
internal fun World.transmit(node: Node, ref: AttemptRef): World {
    if (node.calls.calls[ref.copy.callId]?.attempts?.get(ref.attempt.id) == null) return this
    val sending = node.copy(
        outstanding = node.outstanding.put(ref.attempt.id, ref.copy.callId)
    )
    val left = Duration.between(clockOf(node), ref.attempt.deadline)
    val timeout = AttemptEnd.Failure(AttemptFailure.TimedOut)
    return update(sending)
        .schedule(maxOf(left, Duration.ZERO), Delivery.AttemptEnded(node.id, ref, timeout))
        .schedule(millis(random().nextInt(1, 5)), Delivery.RequestArrives(ref))
}

/** Only the first end of an attempt counts; later ones arrive on a closed connection. */
internal fun World.attemptEnded(node: Node, ended: Delivery.AttemptEnded): World {
    val attempt = ended.ref.attempt.id
    if (attempt !in node.outstanding) return this
    val closed = update(node.copy(outstanding = node.outstanding.remove(attempt)))
    val callId = ended.ref.copy.callId
    return when (val end = ended.end) {
        is AttemptEnd.Answer -> closed.copy(answers = answers.put(ended.ref.copy, end.body))
            .calls(node.id, CallEvent.Answered(callId, attempt, 200, null))
        is AttemptEnd.Failure -> closed.calls(
            node.id,
            CallEvent.AttemptFailed(callId, attempt, end.failure, replayable = true)
        )
    }
}

internal fun World.calls(node: InstanceId, event: CallEvent): World =
    schedule(RING_DELAY, Delivery.Calls(node, event))

internal fun World.gone(node: InstanceId, callId: CallId): World =
    calls(node, CallEvent.CallerGone(callId))
