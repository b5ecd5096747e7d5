package org.wisteriahinge.bench.policy

import java.time.Instant
import kotlin.random.Random
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject
import org.wisteriahinge.core.call.Attempt
import org.wisteriahinge.core.call.AttemptFailure
import org.wisteriahinge.core.call.CallEffect
import org.wisteriahinge.core.call.CallEvent
import org.wisteriahinge.core.call.CallsState
import org.wisteriahinge.core.call.decide
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.Configuration
import org.wisteriahinge.core.model.RequestDigest
import org.wisteriahinge.core.routing.RoutingState

internal const val DEEP_CALLS = "deep-calls"
private const val DEPTH = 24
private const val CHAINS = 2_000
private const val FAILING_RATIO = 0.01
private const val HOP_MICROS = 500L

/** Time between chains, so that the calls of a second are those of a moderate load. */
private const val CHAIN_GAP_MICROS = 2_000L

/** Chains of calls: each target that runs a request calls the next layer through an instance. */
internal fun runDeepCalls(seed: Long): JsonObject = buildJsonObject {
    put("scenario", DEEP_CALLS)
    put("seed", seed)
    putJsonObject("policies") {
        POLICIES.filterIsInstance<BenchPolicy.Decided>().forEach { policy ->
            put(policy.name, DeepCalls(policy, seed).run())
        }
    }
}

private sealed interface LayerEnd {
    data object Good : LayerEnd
    data object Failed : LayerEnd
}

/** Plays chains one after the other; each attempt fails on its own with [FAILING_RATIO]. */
internal class DeepCalls(private val policy: BenchPolicy.Decided, private val seed: Long) {
    private val scenario = STEADY.copy(name = DEEP_CALLS, deadlineMillis = 60_000)
    private val random = Random(seed)
    private var nowMicros = 0L
    private var calls = 0L
    private var attempts = 0L
    private var refused = 0L
    private var instances: PersistentList<CallsState> = List(scenario.instances) { index ->
        val zone = zoneOf(index, scenario.zones)
        val routing = RoutingState(policy.policy, zone, seed * scenario.instances + index)
        CallsState(Configuration.Empty, routing)
            .decide(CallEvent.Configured(scenario.configuration(1)), instant()).state
    }.toPersistentList()

    fun run(): JsonObject {
        val ends = List(CHAINS) {
            val startedAt = nowMicros
            val end = call(depth = 1, retriesAllowed = true)
            val tookMicros = nowMicros - startedAt
            nowMicros += CHAIN_GAP_MICROS
            end to tookMicros
        }
        val histogram = emptyHistogram()
        ends.forEach { histogram.recordValue(it.second) }
        return buildJsonObject {
            put("p50_ms", histogram.millisAt(50.0))
            put("p99_ms", histogram.millisAt(99.0))
            put("p999_ms", histogram.millisAt(99.9))
            put("goodput_ratio", ends.count { it.first == LayerEnd.Good }.toDouble() / CHAINS)
            put("refused_ratio", refused.toDouble() / calls)
            put("probe_load_ratio", 0.0)
            put("retry_ratio", (attempts - calls).toDouble() / calls)
            put("attempts_per_call", attempts.toDouble() / calls)
        }
    }

    private fun instant(): Instant = Instant.EPOCH.plusNanos(nowMicros * 1_000)

    private fun call(depth: Int, retriesAllowed: Boolean): LayerEnd {
        calls += 1
        val id = CallId(calls)
        val instance = random.nextInt(instances.size)
        val kind = scenario.kinds.first()
        val request = SimRequest(calls, nowMicros, instance, kind, workMicros = 0.0)
        val arrived = scenario.callRequest(request, instant()).copy(
            depth = depth - 1,
            retriesAllowed = retriesAllowed,
            digest = RequestDigest("digest-$calls")
        )
        return follow(instance, id, decide(instance, CallEvent.Arrived(arrived)), depth)
    }

    private fun decide(instance: Int, event: CallEvent): PersistentList<CallEffect> {
        nowMicros += HOP_MICROS
        val decision = instances[instance].decide(event, instant())
        instances = instances.set(instance, decision.state)
        return decision.effects
    }

    private tailrec fun follow(
        instance: Int,
        id: CallId,
        effects: List<CallEffect>,
        depth: Int
    ): LayerEnd {
        val forward = effects.filterIsInstance<CallEffect.Forward>().singleOrNull()
        if (forward == null) {
            refused += 1
            check(effects.any { it is CallEffect.Refuse }) { "call $id neither runs nor ends" }
            return LayerEnd.Failed
        }
        attempts += 1
        val event = attempt(id, forward.attempt, depth)
        val next = decide(instance, event)
        if (next.none { it is CallEffect.Deliver }) return follow(instance, id, next, depth)
        decide(instance, CallEvent.Completed(id, forward.attempt.id))
        val good = event is CallEvent.Answered && event.status < 500
        return if (good) LayerEnd.Good else LayerEnd.Failed
    }

    private fun attempt(id: CallId, attempt: Attempt, depth: Int): CallEvent {
        if (random.nextDouble() < FAILING_RATIO) return failure(id, attempt)
        val inner = if (depth < DEPTH) call(depth + 1, !attempt.noRetry) else LayerEnd.Good
        val status = when (inner) {
            LayerEnd.Good -> 200
            LayerEnd.Failed -> 502
        }
        return CallEvent.Answered(id, attempt.id, status, load = null)
    }

    private fun failure(id: CallId, attempt: Attempt): CallEvent = when (random.nextInt(3)) {
        0 -> CallEvent.Answered(id, attempt.id, status = 500, load = null)
        1 -> CallEvent.AttemptFailed(id, attempt.id, AttemptFailure.Shed, replayable = true)
        else ->
            CallEvent.AttemptFailed(id, attempt.id, AttemptFailure.Disconnected, replayable = true)
    }
}
