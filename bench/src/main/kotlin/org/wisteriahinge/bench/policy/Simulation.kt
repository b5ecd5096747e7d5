package org.wisteriahinge.bench.policy

import java.time.Instant
import kotlin.random.Random
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentSet
import org.wisteriahinge.core.call.AttemptFailure
import org.wisteriahinge.core.call.CallEffect
import org.wisteriahinge.core.call.CallEvent
import org.wisteriahinge.core.call.CallsState
import org.wisteriahinge.core.call.decide
import org.wisteriahinge.core.handover.AttemptPath
import org.wisteriahinge.core.membership.TargetLoad
import org.wisteriahinge.core.model.AttemptId
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.Configuration
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.core.model.LoadReport
import org.wisteriahinge.core.model.Refusal
import org.wisteriahinge.core.once.ClaimSettlement
import org.wisteriahinge.core.routing.RoutingState

private const val NOISE_SEED = 0x5EEDL

/** The bound of invariant I5 on requests that start at a target that leaves. */
private const val LEAVING_BOUND_MICROS = 3_000_000L

/** Runs [scenario] once with [policy]; the same seed gives the same run. */
internal class Simulation(
    private val scenario: Scenario,
    private val policy: BenchPolicy,
    private val seed: Long
) {
    private val noiseRandom = Random(seed xor NOISE_SEED)
    private var requests = scenario.requests(seed)
    private val resends = Resends(seed, scenario.instances, scenario.resending)
    private var timeline = Timeline()
    private var result = RunResult(scenario)
    private var placed: PersistentMap<AttemptKey, Int> = persistentHashMapOf()
    private var told: PersistentList<PersistentList<TargetLoad>> =
        List(scenario.instances) { persistentListOf<TargetLoad>() }.toPersistentList()
    private var unlisted: PersistentSet<Int> = persistentSetOf()
    private var onTheWay: PersistentList<Int> = List(scenario.targets) { 0 }.toPersistentList()
    private var targets = scenario.initialTargets()
    private var handovers = SimHandovers()
    private var instances: PersistentList<CallsState> = when (policy) {
        is BenchPolicy.Decided -> List(scenario.instances) {
            scenario.initialState(it, policy, seed)
        }
        BenchPolicy.Ideal -> emptyList()
    }.toPersistentList()

    /** Simulates every request up to its end. */
    fun run(): RunResult {
        timeline = scenario.initialTimeline(requests, instances.size)
        generateSequence(::step).count()
        return result
    }

    private fun instant(): Instant = timeline.instant

    private val nowMicros: Long get() = timeline.nowMicros

    private fun schedule(atMicros: Long, event: SimEvent) {
        timeline = timeline.scheduled(atMicros, event)
    }

    private fun schedule(events: List<TimedEvent>) =
        events.forEach { schedule(it.atMicros, it.event) }

    /** Handles the next event; null when none is left or every deadline has passed. */
    private fun step(): SimEvent? {
        val next = timeline.next() ?: return null
        timeline = next.timeline
        handle(next.event)
        return next.event.takeIf { nowMicros < scenario.endMicros }
    }

    private fun handle(event: SimEvent) = when (event) {
        is SimEvent.Arrive -> arrive(event.request)
        is SimEvent.ReachTarget -> reachTarget(event.target, event.attempt)
        is SimEvent.ServiceEnd -> serviceEnd(event)
        is SimEvent.CancelAtTarget ->
            update(targets[event.target].remove(event.key, nowMicros))
        is SimEvent.ToInstance -> toInstance(event.instance, event.event)
        is SimEvent.Deadline -> deadline(event)
        is SimEvent.Tick -> {
            toInstance(event.instance, CallEvent.Ticked)
            schedule(nowMicros + scenario.tickMicros, event)
        }
        is SimEvent.Change -> change(targets[event.target], event.change)
        is SimEvent.ReachProbe -> reachProbe(targets[event.target], event.instance)
        is SimEvent.Heartbeat -> heartbeat(event)
        is SimEvent.DrawSpeed -> drawSpeed(event)
    }

    private fun arrive(request: SimRequest) = when (policy) {
        is BenchPolicy.Decided -> {
            val call = scenario.callRequest(request, instant())
            toInstance(request.instance, CallEvent.Arrived(call))
        }
        BenchPolicy.Ideal -> arriveIdeal(request)
    }

    private fun arriveIdeal(request: SimRequest) {
        val target = targets.filter { it.servesWell() && it.index !in unlisted }.minByOrNull {
            scenario.idealCost(it, onTheWay[it.index], scenario.delay(request.instance, it.index))
        }
        if (target == null) return ended(request, Ending.Refused)
        send(request, AttemptKey(request.instance, AttemptId(request.id)), target.index)
    }

    private fun toInstance(instance: Int, event: CallEvent) = when (policy) {
        is BenchPolicy.Decided -> {
            val decision = instances[instance].decide(event, instant())
            instances = instances.set(instance, decision.state)
            decision.effects.forEach { perform(instance, it, event) }
        }
        BenchPolicy.Ideal -> endIdeal(event)
    }

    private fun endIdeal(event: CallEvent) {
        when (event) {
            is CallEvent.Answered ->
                ended(requestOf(event.callId), Ending.Answered(event.status))
            is CallEvent.AttemptFailed -> ended(requestOf(event.callId), Ending.Refused)
            else -> Unit
        }
    }

    private fun requestOf(callId: CallId): SimRequest = requests[(callId.value - 1).toInt()]

    private fun perform(instance: Int, effect: CallEffect, cause: CallEvent) {
        when (effect) {
            is CallEffect.Forward -> forward(instance, effect)
            is CallEffect.Deliver -> {
                deliver(PeerCall(instance, effect.callId), (cause as CallEvent.Answered).status)
                toInstance(instance, CallEvent.Completed(effect.callId, effect.attemptId))
            }
            is CallEffect.Refuse -> refuse(PeerCall(instance, effect.callId), effect.refusal)
            is CallEffect.CancelAttempt -> cancel(AttemptKey(instance, effect.attemptId))
            // The simulation measures routing; claims are granted at once.
            is CallEffect.Claim -> toInstance(
                instance,
                CallEvent.ClaimSettled(effect.request.callId, ClaimSettlement.Granted)
            )
            is CallEffect.EndClaim, is CallEffect.DeliverRetained -> Unit
            is CallEffect.ReportDemand -> Unit
            is CallEffect.ReportQuarantine ->
                schedule(scenario.quarantineMessages(instance, effect.notices, nowMicros))
            is CallEffect.PublishQuarantineSummary ->
                schedule(scenario.quarantineMessages(instance, effect.notices, nowMicros))
            is CallEffect.Probe -> {
                val target = targetIndex(effect.target.id)
                schedule(scenario.probeMessages(instance, target, nowMicros))
            }
            is CallEffect.PublishLoads -> told = told.set(instance, effect.loads)
            is CallEffect.CheckServer -> {
                val target = targets[targetIndex(effect.target.id)]
                schedule(scenario.serverCheckMessages(instance, target, nowMicros))
            }
            is CallEffect.ShareCrashes ->
                schedule(scenario.crashMessages(instance, effect, nowMicros))
            // Requests that crash targets are never answered.
            is CallEffect.ClearCrashes -> Unit
            is CallEffect.Finished, is CallEffect.Count, is CallEffect.LogCall,
            is CallEffect.NotifyRateLimit, is CallEffect.RequestRateLimitShare,
            is CallEffect.AskQuota, is CallEffect.NotifyQuota -> Unit
        }
    }

    /** Passes the answer to the caller, or to the instance that handed the call over. */
    private fun deliver(call: PeerCall, status: Int) {
        val sender = handovers.attemptOf(call)
            ?: return ended(requestOf(call.callId), Ending.Answered(status))
        val answer = CallEvent.Answered(call.callId, sender.attempt, status, load = null)
        returnToSender(call, sender, answer)
    }

    private fun refuse(call: PeerCall, refusal: Refusal) {
        val sender = handovers.attemptOf(call)
            ?: return ended(requestOf(call.callId), Ending.Refused)
        returnToSender(call, sender, failure(call.callId, sender, handoverFailure(refusal)))
    }

    private fun returnToSender(call: PeerCall, sender: AttemptKey, event: CallEvent) {
        handovers = handovers.without(call)
        val at = nowMicros + scenario.delay(call.instance, sender.instance)
        schedule(at, SimEvent.ToInstance(sender.instance, event))
    }

    private fun handOver(
        sender: AttemptKey,
        effect: CallEffect.Forward,
        path: AttemptPath.ThroughInstance
    ) {
        val peer = instanceIndex(path.peer.id)
        handovers = handovers.with(PeerCall(peer, effect.callId), sender)
        val request = requestOf(effect.callId)
        val arrival = scenario.handoverArrival(request, effect.attempt, path, instant())
        val at = nowMicros + scenario.delay(sender.instance, peer)
        schedule(at, SimEvent.ToInstance(peer, arrival))
    }

    private fun forward(instance: Int, effect: CallEffect.Forward) {
        val origin = requestOf(effect.callId).takeIf { it.kind.crashes }?.origin
        if (origin != null) result = result.sentCrashing(origin, nowMicros)
        val isRetry = effect.attempt.number > 1
        result = result.copy(retries = result.retries + if (isRetry) 1 else 0)
        val key = AttemptKey(instance, effect.attempt.id)
        when (val path = effect.attempt.path) {
            AttemptPath.Direct ->
                send(requestOf(effect.callId), key, targetIndex(effect.attempt.target.id))
            is AttemptPath.ThroughInstance -> handOver(key, effect, path)
        }
    }

    private fun send(request: SimRequest, key: AttemptKey, target: Int) {
        val cut = scenario.cutLink(key.instance, nowMicros)
        if (cut != null) return schedule(cut.connectFailure(request, key, nowMicros))
        val sent = SimAttempt(request, key, request.workMicros)
        placed = placed.put(key, target)
        onTheWay = onTheWay.set(target, onTheWay[target] + 1)
        result = result.copy(attempts = result.attempts + 1)
        schedule(
            nowMicros + scenario.delay(key.instance, target),
            SimEvent.ReachTarget(target, sent)
        )
        val deadline = request.atMicros + scenario.deadlineMillis * MICROS_PER_MILLI
        schedule(deadline, SimEvent.Deadline(CallId(request.id), key))
    }

    private fun cancel(key: AttemptKey) {
        handovers.callOf(key)?.let { return cancelHandover(key, it) }
        val target = placed[key] ?: return
        placed = placed.remove(key)
        schedule(
            nowMicros + scenario.delay(key.instance, target),
            SimEvent.CancelAtTarget(target, key)
        )
    }

    private fun cancelHandover(key: AttemptKey, call: PeerCall) {
        handovers = handovers.without(call)
        val at = nowMicros + scenario.delay(key.instance, call.instance)
        schedule(at, SimEvent.ToInstance(call.instance, CallEvent.CallerGone(call.callId)))
    }

    private fun deadline(event: SimEvent.Deadline) {
        if (event.key !in placed) return
        cancel(event.key)
        toInstance(event.key.instance, failure(event.callId, event.key, AttemptFailure.TimedOut))
    }

    private fun ended(request: SimRequest, ending: Ending) {
        val outcome = Outcome(request, nowMicros, ending)
        result = result.copy(outcomes = result.outcomes.add(outcome))
        val resend = resends.after(request, requests, nowMicros) ?: return
        requests = requests.add(resend)
        schedule(resend.atMicros, SimEvent.Arrive(resend))
    }

    private fun reachTarget(index: Int, attempt: SimAttempt) {
        val target = targets[index]
        onTheWay = onTheWay.set(index, onTheWay[index] - 1)
        when {
            attempt.key !in placed -> Unit
            target.crashed -> fail(target, attempt, AttemptFailure.ConnectFailed)
            target.draining == Announcement.Refusing ->
                fail(target, attempt, AttemptFailure.TargetDraining)
            target.full -> fail(target, attempt, AttemptFailure.Shed)
            else -> accept(target, attempt)
        }
    }

    private fun accept(target: SimTarget, attempt: SimAttempt) {
        val late = target.draining != null &&
            nowMicros - target.drainingSinceMicros > LEAVING_BOUND_MICROS
        if (late) result = result.copy(startedAfterBound = result.startedAfterBound + 1)
        if (target.limitPerSecond != null) {
            val arrival = LimitedArrival(target.index, nowMicros)
            result = result.copy(limitedArrivals = result.limitedArrivals.add(arrival))
        }
        result = result.ran(attempt.request, nowMicros)
        val work = if (target.failFast) attempt.workMicros / 10 else attempt.workMicros
        update(target.accept(attempt.copy(workMicros = work), nowMicros))
    }

    private fun fail(target: SimTarget, attempt: SimAttempt, cause: AttemptFailure) {
        val event = failure(CallId(attempt.request.id), attempt.key, cause)
        reply(
            target,
            attempt,
            event.copy(
                load = target.reportAt(instant()).takeIf {
                    !target.crashed
                }
            )
        )
    }

    private fun reply(target: SimTarget, attempt: SimAttempt, event: CallEvent) {
        val heard = when (scenario.cutLink(attempt.key.instance, nowMicros)) {
            null -> event
            // The deadline of the attempt ends it.
            CutLink.Silent -> return
            CutLink.Refusing ->
                failure(CallId(attempt.request.id), attempt.key, AttemptFailure.Disconnected)
        }
        placed = placed.remove(attempt.key)
        val at = nowMicros + scenario.delay(attempt.key.instance, target.index)
        schedule(at, SimEvent.ToInstance(attempt.key.instance, heard))
    }

    private fun update(changed: SimTarget) {
        targets = targets.set(changed.index, changed)
        val next = changed.nextToEnd() ?: return
        val at = nowMicros + changed.microsLeft(next)
        schedule(at, SimEvent.ServiceEnd(changed.index, changed.version))
    }

    private fun serviceEnd(event: SimEvent.ServiceEnd) {
        val target = targets[event.target]
        if (target.version != event.version) return
        val done = target.nextToEnd() ?: return
        if (done.request.kind.crashes) return crashBy(target, done.request)
        val failing = target.failFast || scenario.drawFailure(done, seed)
        val status = if (failing) 500 else 200
        val callId = CallId(done.request.id)
        val after = target.remove(done.key, nowMicros)
        reply(
            after,
            done,
            CallEvent.Answered(
                callId,
                done.key.attempt,
                status,
                after.reportAt(instant()),
                scenario.limitReport(after)
            )
        )
        update(after)
    }

    private fun reachProbe(target: SimTarget, instance: Int) {
        result = result.probed(ProbeCell(target.index, nowMicros / MICROS_PER_SECOND))
        schedule(scenario.probeAnswer(instance, target, instant(), nowMicros))
    }

    private fun heartbeat(event: SimEvent.Heartbeat) {
        schedule(nowMicros + scenario.heartbeatMillis * MICROS_PER_MILLI, event)
        val loads = told[event.instance]
        schedule(scenario.heartbeatMessages(event.instance, loads, nowMicros))
    }

    private fun crashBy(target: SimTarget, request: SimRequest) {
        val crashes = (result.crashes[request.origin] ?: 0) + 1
        result = result.copy(crashes = result.crashes.put(request.origin, crashes))
            .crashed(request.origin, nowMicros)
        crash(target, TargetChange.Crash(scenario.crashDownMillis))
    }

    private fun change(target: SimTarget, change: TargetChange) = when (change) {
        is TargetChange.Speed -> update(target.atSpeed(change.factor, nowMicros))
        is TargetChange.FailFast -> update(target.copy(failFast = change.failing))
        is TargetChange.Misreport -> update(target.copy(misreporting = change.misreporting))
        is TargetChange.Limit -> update(target.copy(limitPerSecond = change.perSecond))
        is TargetChange.Drain -> drain(target, change.announcement)
        is TargetChange.Crash -> crash(target, change)
        TargetChange.Return -> update(target.copy(crashed = false))
    }

    private fun drain(target: SimTarget, announcement: Announcement) {
        update(target.copy(draining = announcement, drainingSinceMicros = nowMicros))
        if (announcement != Announcement.Unlisted) return
        unlisted = unlisted.add(target.index)
        val lists = scenario.configuration(1L + unlisted.size, unlisted)
        instances.indices.forEach { toInstance(it, CallEvent.Configured(lists)) }
    }

    private fun crash(target: SimTarget, change: TargetChange.Crash) {
        val lost = target.running.addAll(target.queue)
        result = result.copy(cutOff = result.cutOff + lost.size)
        val empty = target.emptied()
        update(empty)
        lost.forEach { fail(empty, it, AttemptFailure.Disconnected) }
        val back = nowMicros + change.downMillis * MICROS_PER_MILLI
        schedule(back, SimEvent.Change(target.index, TargetChange.Return))
    }

    private fun drawSpeed(event: SimEvent.DrawSpeed) {
        val noise = scenario.noise ?: return
        val speed = noiseRandom.nextDouble(noise.low, noise.high)
        val micros = noiseRandom.nextDouble(noise.minMillis, noise.maxMillis) * MICROS_PER_MILLI
        update(targets[event.target].atSpeed(speed, nowMicros))
        schedule(nowMicros + micros.toLong(), event)
    }
}
