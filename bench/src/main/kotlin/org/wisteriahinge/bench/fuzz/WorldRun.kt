package org.wisteriahinge.bench.fuzz

import java.time.Duration
import java.time.Instant
import kotlinx.collections.immutable.toPersistentList
import org.wisteriahinge.core.call.CallEvent
import org.wisteriahinge.core.call.decide
import org.wisteriahinge.core.limits.LimitsEvent
import org.wisteriahinge.core.limits.decide
import org.wisteriahinge.core.membership.PeerMessage
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.core.once.AppendOutcome
import org.wisteriahinge.core.once.KeyDigest
import org.wisteriahinge.core.once.OnceEvent
import org.wisteriahinge.core.once.ReadBatch
import org.wisteriahinge.core.once.decide

/** Time from one duty's ring to the next; equal for all messages, so rings keep their order. */
internal val RING_DELAY: Duration = Duration.ofNanos(100_000)
private val TICK: Duration = Duration.ofMillis(50)
private val POLL: Duration = Duration.ofMillis(20)
private val SLOW_LOG: Duration = Duration.ofMillis(500)
private const val RECORDS_PER_READ = 8

/** Performs the next [count] deliveries. */
internal tailrec fun World.deliver(count: Int): World =
    if (count == 0) this else deliverNext().deliver(count - 1)

/** Performs everything that is due within [span]. */
internal fun World.advance(span: Duration): World = advanceTo(time.plus(span))

private tailrec fun World.advanceTo(until: Instant): World {
    val next = agenda.entries.firstOrNull()
    return if (next == null || next.at > until) {
        copy(time = maxOf(time, until))
    } else {
        deliverNext().advanceTo(until)
    }
}

internal fun World.deliverNext(): World {
    val next = agenda.entries.firstOrNull() ?: return this
    return copy(time = maxOf(time, next.at), agenda = agenda.withoutFirst()).drawn()
        .handle(next.delivery)
}

private fun World.handle(delivery: Delivery): World = when (delivery) {
    is Delivery.ForNode -> {
        val node = nodes[delivery.node]
        when {
            node == null -> this
            node.paused -> update(node.copy(backlog = node.backlog.add(delivery)))
            else -> handleAt(node, delivery)
        }
    }
    is Delivery.AppendArrives -> appendArrives(delivery)
    is Delivery.SharesArrive -> sharesArrive(delivery)
    is Delivery.RequestArrives -> requestArrives(delivery.ref)
    is Delivery.RunEnds -> runEnds(delivery.ref)
}

internal fun World.handleAt(node: Node, delivery: Delivery.ForNode): World = when (delivery) {
    is Delivery.Calls -> decideCalls(node, delivery.event)
    is Delivery.Once -> {
        val decision = node.once.decide(delivery.event, clockOf(node))
        decision.effects.fold(update(node.copy(once = decision.state))) { world, effect ->
            world.perform(node.id, effect)
        }
    }
    is Delivery.Limits -> {
        val decision = node.limits.decide(delivery.event, clockOf(node))
        decision.effects.fold(update(node.copy(limits = decision.state))) { world, effect ->
            world.perform(node.id, effect)
        }
    }
    is Delivery.Peer -> peerMessage(node, delivery.message)
    is Delivery.Tick -> schedule(RING_DELAY, Delivery.Once(node.id, OnceEvent.Ticked))
        .schedule(RING_DELAY, Delivery.Limits(node.id, LimitsEvent.Ticked))
        .calls(node.id, CallEvent.Ticked)
        .schedule(TICK, delivery)
    is Delivery.Bounds -> readBounds(node, delivery)
    is Delivery.Poll -> poll(node, delivery)
    is Delivery.Transmit -> transmit(node, delivery.ref)
    is Delivery.AttemptEnded -> attemptEnded(node, delivery)
}

private fun World.decideCalls(node: Node, event: CallEvent): World {
    val decision = node.calls.decide(event, clockOf(node))
    val decided = decision.effects.fold(update(node.copy(calls = decision.state))) {
            world,
            effect
        ->
        world.perform(node.id, effect)
    }
    return if (event is CallEvent.Arrived) decided.noteAdmitted(node, event.request) else decided
}

private fun World.peerMessage(node: Node, message: PeerMessage): World = when (message) {
    is PeerMessage.OutcomeRequest ->
        once(node, OnceEvent.OutcomeRequested(message.from, KeyDigest(message.keyDigest)))
    is PeerMessage.OutcomeReply ->
        once(node, OnceEvent.OutcomeReported(KeyDigest(message.keyDigest), message.outcome))
    is PeerMessage.Heartbeat,
    is PeerMessage.Quarantine,
    is PeerMessage.ConfigurationRequest,
    is PeerMessage.ConfigurationReply
    -> this
}

private fun World.once(node: Node, event: OnceEvent): World =
    schedule(RING_DELAY, Delivery.Once(node.id, event))

private fun World.readBounds(node: Node, delivery: Delivery.Bounds): World =
    if (logMode == LogMode.Down) {
        schedule(SLOW_LOG, delivery)
    } else {
        update(node.copy(claimsOffset = claims.earliest, sharesOffset = shares.earliest))
            .schedule(
                RING_DELAY,
                Delivery.Limits(node.id, LimitsEvent.BoundsRead(shares.earliest, shares.next))
            )
            .once(node, OnceEvent.BoundsRead(claims.earliest, claims.next))
            .schedule(POLL, Delivery.Poll(node.id))
    }

private fun World.poll(node: Node, delivery: Delivery.Poll): World {
    val delay = if (logMode == LogMode.Slow) SLOW_LOG else POLL
    val next = schedule(delay, delivery)
    return if (logMode == LogMode.Down) next else next.pollShares(node).pollClaims(node.id)
}

private fun World.pollClaims(id: InstanceId): World {
    val node = nodes.getValue(id)
    if (node.claimsOffset < claims.earliest) {
        return update(node.copy(claimsOffset = claims.earliest))
            .once(node, OnceEvent.Gap(claims.earliest))
    }
    val read = claims.read(node.claimsOffset, RECORDS_PER_READ)
        .map { ReadBatch(it.index.toLong(), it.value) }.toPersistentList()
    return update(node.copy(claimsOffset = node.claimsOffset + read.size))
        .once(node, OnceEvent.Read(read))
}

private fun World.appendArrives(delivery: Delivery.AppendArrives): World = when (logMode) {
    LogMode.Down -> settleAppend(delivery, AppendOutcome.Rejected)
    LogMode.Up, LogMode.Slow -> appended(delivery, AppendOutcome.Appended)
    LogMode.LosesAnswers -> appended(delivery, AppendOutcome.Unknown)
    LogMode.DelaysAppends -> if (delivery.answered) {
        appended(delivery, AppendOutcome.Unknown)
    } else {
        val delay = Duration.ofSeconds(random().nextLong(1, 30))
        settleAppend(delivery, AppendOutcome.Unknown)
            .schedule(delay, delivery.copy(answered = true))
    }
}

private fun World.appended(delivery: Delivery.AppendArrives, outcome: AppendOutcome): World =
    copy(claims = claims.append(delivery.batch)).settleAppend(delivery, outcome)

private fun World.settleAppend(delivery: Delivery.AppendArrives, outcome: AppendOutcome): World =
    if (delivery.answered) {
        this
    } else {
        val event = OnceEvent.AppendSettled(delivery.batch.appendId, outcome)
        schedule(millis(random().nextInt(1, 10)), Delivery.Once(delivery.from, event))
    }
