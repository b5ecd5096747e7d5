package org.wisteriahinge.bench.fuzz

import com.github.f4b6a3.uuid.UuidCreator
import java.time.Duration
import java.time.Instant
import kotlin.random.Random
import org.wisteriahinge.core.call.CallEvent
import org.wisteriahinge.core.call.CallRequest
import org.wisteriahinge.core.call.PresentedCredential
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.CredentialId
import org.wisteriahinge.core.model.IdempotencyKey
import org.wisteriahinge.core.model.RequestDigest

private const val MIN_NODES = 2
private const val MAX_NODES = 5
private const val REPEATABLE_ONE_IN = 8
private const val BODY_BYTES = 100L
private const val CLOCK_ERROR_MILLIS = 1_000

/** A step of a run; [draw] decides its details. */
internal data class FuzzAction(val kind: FuzzKind, val draw: Int) {
    override fun toString(): String = "${kind.name}:$draw"
}

/** Performs [action]; a step that does not apply to this world changes nothing. */
internal fun World.perform(action: FuzzAction): World {
    val random = Random(action.draw)
    return when (val kind = action.kind) {
        is FuzzKind.OfCallers -> callersAct(kind, random)
        is FuzzKind.OfTime -> timePasses(kind, random)
        is FuzzKind.OfLog -> logActs(kind, random)
        is FuzzKind.OfNodes -> nodesAct(kind, random)
        is FuzzKind.OfTargets -> targetsAct(kind, random)
    }
}

private fun World.callersAct(kind: FuzzKind.OfCallers, random: Random): World = when (kind) {
    FuzzKind.Send -> send(random, newRequest(random, time))
    FuzzKind.SendMany -> (1..random.nextInt(2, 40)).fold(this) { world, _ ->
        world.send(random, world.newRequest(random, world.time))
    }
    FuzzKind.SendOddKey -> send(random, newRequest(random, oddTime(random)))
    FuzzKind.Resend -> requests.pick(random)?.let { send(random, it) } ?: this
    FuzzKind.ResendChanged ->
        requests.pick(random)?.let { send(random, changed(random, it)) } ?: this
    FuzzKind.Cancel -> cancel(random)
}

private fun World.timePasses(kind: FuzzKind.OfTime, random: Random): World = when (kind) {
    FuzzKind.Deliver -> deliver(random.nextInt(1, 12))
    FuzzKind.Advance -> advance(millis(random.nextInt(1, 1_000)))
    FuzzKind.AdvanceLong -> advance(millis(random.nextInt(1_000, 30_000)))
}

private fun World.logActs(kind: FuzzKind.OfLog, random: Random): World = when (kind) {
    FuzzKind.LogChanges -> copy(logMode = faultyLogModes.random(random))
    FuzzKind.LogRecovers -> copy(logMode = LogMode.Up)
    FuzzKind.LogExpires -> copy(
        claims = claims.expire(random.nextInt(1, 20)),
        shares = shares.expire(random.nextInt(1, 20))
    )
    FuzzKind.MessagesChange -> copy(messagesFail = !messagesFail)
}

private fun World.nodesAct(kind: FuzzKind.OfNodes, random: Random): World = when (kind) {
    FuzzKind.NodeStarts -> if (nodes.size < MAX_NODES) startNode(clockError(random)) else this
    FuzzKind.NodeCrashes -> if (nodes.size > MIN_NODES) crashNode(random) else this
    FuzzKind.NodePauses -> pick(random)?.let { update(it.copy(paused = true)) } ?: this
    FuzzKind.NodeResumes -> resume(random)
    FuzzKind.ClockShifts -> shiftClock(random)
}

private fun World.targetsAct(kind: FuzzKind.OfTargets, random: Random): World = when (kind) {
    FuzzKind.TargetChanges -> setTarget(random, faultyTargetModes.random(random))
    FuzzKind.TargetRecovers -> setTarget(random, TargetMode.Serving)
    FuzzKind.TargetCrashes -> crashTarget(targets.keys.sortedBy { it.value }.random(random))
}

private val faultyLogModes =
    listOf(LogMode.Down, LogMode.Slow, LogMode.LosesAnswers, LogMode.DelaysAppends)

private val faultyTargetModes =
    listOf(TargetMode.Draining, TargetMode.Shedding, TargetMode.Late, TargetMode.Down)

private fun <T> List<T>.pick(random: Random): T? = takeLast(30).randomOrNull(random)

private fun World.pick(random: Random): Node? =
    nodes.values.sortedBy { it.id.value }.randomOrNull(random)

private fun clockError(random: Random): Duration =
    millis(random.nextInt(-CLOCK_ERROR_MILLIS, CLOCK_ERROR_MILLIS + 1))

private fun World.newRequest(random: Random, keyTime: Instant): CallerRequest {
    val skewed = keyTime.plus(clockError(random))
    val key = UuidCreator.getTimeOrderedEpoch(skewed).toString()
    return CallerRequest(
        IdempotencyKey(key),
        customerIds.random(random),
        "booking ${requests.size}",
        isRepeatable = random.nextInt(REPEATABLE_ONE_IN) == 0
    )
}

private fun World.oddTime(random: Random): Instant =
    time.plus(millis(random.nextInt(-90_000, 10_000)))

private fun changed(random: Random, request: CallerRequest): CallerRequest =
    if (random.nextBoolean()) {
        request.copy(content = request.content + " changed")
    } else {
        request.copy(customer = customerIds.first { it != request.customer })
    }

private fun World.send(random: Random, request: CallerRequest): World =
    pick(random)?.let { send(it, request, millis(random.nextInt(100, 20_000))) } ?: this

/** A caller sends [request] to [node] and waits for [timeout]. */
internal fun World.send(node: Node, request: CallerRequest, timeout: Duration): World {
    val callId = CallId(lastCall + 1)
    val call = CallRequest(
        callId = callId,
        credential = PresentedCredential(CredentialId(request.customer.value), KEYED_HASH),
        method = if (request.isRepeatable) "GET" else "POST",
        path = "/bookings",
        idempotencyKey = request.key.takeUnless { request.isRepeatable },
        digest = RequestDigest(request.content),
        deadline = clockOf(node).plus(timeout),
        depth = 0,
        retriesAllowed = true,
        bodyBytes = BODY_BYTES,
        replayable = true
    )
    return copy(
        lastCall = callId.value,
        requests = if (request in requests) requests else requests.add(request),
        oracle = oracle.sent(CopyRef(node.id, callId), request, time)
    ).schedule(Duration.ZERO, Delivery.Calls(node.id, CallEvent.Arrived(call)))
}

private fun World.cancel(random: Random): World {
    val node = pick(random) ?: return this
    val callId = node.calls.calls.keys.sortedBy { it.value }.randomOrNull(random) ?: return this
    return gone(node.id, callId)
}

private fun World.shiftClock(random: Random): World {
    val node = pick(random) ?: return this
    val offset = clockError(random)
    val gain = maxOf(offset.minus(node.clockOffset), Duration.ZERO)
    return update(node.copy(clockOffset = offset)).copy(clockGain = clockGain.plus(gain))
}

private fun World.crashNode(random: Random): World {
    val node = pick(random) ?: return this
    return copy(nodes = nodes.remove(node.id))
}

private fun World.resume(random: Random): World {
    val node = nodes.values.filter { it.paused }.sortedBy { it.id.value }.randomOrNull(random)
        ?: return this
    val running = update(node.copy(paused = false, backlog = node.backlog.clear()))
    return node.backlog.fold(running) { world, delivery ->
        world.schedule(Duration.ZERO, delivery)
    }
}

private fun World.setTarget(random: Random, mode: TargetMode): World {
    val target = targets.keys.sortedBy { it.value }.random(random)
    return if (mode == TargetMode.Down) {
        crashTarget(target)
    } else {
        copy(targets = targets.put(target, targets.getValue(target).copy(mode = mode)))
    }
}
