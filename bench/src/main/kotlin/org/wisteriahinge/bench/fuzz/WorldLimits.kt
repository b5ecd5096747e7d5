package org.wisteriahinge.bench.fuzz

import java.time.Duration
import kotlinx.collections.immutable.toPersistentList
import org.wisteriahinge.core.call.CallEvent
import org.wisteriahinge.core.call.CallRequest
import org.wisteriahinge.core.limits.LimitsEffect
import org.wisteriahinge.core.limits.LimitsEvent
import org.wisteriahinge.core.limits.ReadShares
import org.wisteriahinge.core.model.CustomerId
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.core.once.AppendOutcome

private const val RECORDS_PER_READ = 8
private val SLOW_APPEND: Duration = Duration.ofMillis(500)

internal fun World.perform(from: InstanceId, effect: LimitsEffect): World = when (effect) {
    is LimitsEffect.Append -> {
        val slow = if (logMode == LogMode.Slow) SLOW_APPEND else Duration.ZERO
        val delay = slow.plus(millis(drawn().random().nextInt(1, 20)))
        drawn().schedule(delay, Delivery.SharesArrive(from, effect.batch, answered = false))
    }
    is LimitsEffect.Announce -> calls(from, CallEvent.SharesChanged(effect.shares))
}

internal fun World.sharesArrive(delivery: Delivery.SharesArrive): World = when (logMode) {
    LogMode.Down -> settleShares(delivery, AppendOutcome.Rejected)
    LogMode.Up, LogMode.Slow -> shared(delivery, AppendOutcome.Appended)
    LogMode.LosesAnswers -> shared(delivery, AppendOutcome.Unknown)
    LogMode.DelaysAppends -> if (delivery.answered) {
        shared(delivery, AppendOutcome.Unknown)
    } else {
        settleShares(delivery, AppendOutcome.Unknown).schedule(
            Duration.ofSeconds(random().nextLong(1, 30)),
            delivery.copy(answered = true)
        )
    }
}

private fun World.shared(delivery: Delivery.SharesArrive, outcome: AppendOutcome): World =
    copy(shares = shares.append(delivery.batch)).settleShares(delivery, outcome)

private fun World.settleShares(delivery: Delivery.SharesArrive, outcome: AppendOutcome): World =
    if (delivery.answered) {
        this
    } else {
        val event = LimitsEvent.AppendSettled(delivery.batch.appendId, outcome)
        schedule(millis(random().nextInt(1, 10)), Delivery.Limits(delivery.from, event))
    }

internal fun World.pollShares(node: Node): World {
    if (node.sharesOffset < shares.earliest) {
        return update(node.copy(sharesOffset = shares.earliest))
            .schedule(RING_DELAY, Delivery.Limits(node.id, LimitsEvent.Gap(shares.earliest)))
    }
    val read = shares.read(node.sharesOffset, RECORDS_PER_READ)
        .map { ReadShares(it.index.toLong(), it.value) }.toPersistentList()
    return update(node.copy(sharesOffset = node.sharesOffset + read.size))
        .schedule(RING_DELAY, Delivery.Limits(node.id, LimitsEvent.Read(read)))
}

/** A call that its instance took out of the plan counts towards the plan's rate and bytes. */
internal fun World.noteAdmitted(before: Node, request: CallRequest): World {
    val customer = request.credential?.id?.value?.let(::CustomerId) ?: return this
    val tokensBefore = before.calls.limits.usage[customer]?.inProgress ?: 0
    val after = nodes.getValue(before.id).calls
    val admitted = after.calls[request.callId]?.countsAgainstPlan == true ||
        (after.limits.usage[customer]?.inProgress ?: 0) > tokensBefore
    if (!admitted) return this
    val admission = Admission(time, request.bodyBytes ?: 0)
    return copy(oracle = oracle.admitted(customer, admission, clockGain))
}
