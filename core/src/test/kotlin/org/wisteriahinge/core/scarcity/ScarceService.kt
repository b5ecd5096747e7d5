package org.wisteriahinge.core.scarcity

import java.time.Duration
import java.time.Instant
import java.util.PriorityQueue
import java.util.SplittableRandom
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
import org.wisteriahinge.core.call.Attempt
import org.wisteriahinge.core.call.AttemptFailure
import org.wisteriahinge.core.call.CallEffect
import org.wisteriahinge.core.call.CallEvent
import org.wisteriahinge.core.call.CallFixture
import org.wisteriahinge.core.call.CallsDecision
import org.wisteriahinge.core.call.CallsState
import org.wisteriahinge.core.call.CheckedCall
import org.wisteriahinge.core.call.EntitledCaller
import org.wisteriahinge.core.call.OpenRoutesFixture
import org.wisteriahinge.core.call.RequestContent
import org.wisteriahinge.core.call.admit
import org.wisteriahinge.core.call.decide
import org.wisteriahinge.core.call.tickDueAt
import org.wisteriahinge.core.model.Address
import org.wisteriahinge.core.model.Allowance
import org.wisteriahinge.core.model.Backend
import org.wisteriahinge.core.model.CallBounds
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.Configuration
import org.wisteriahinge.core.model.Customer
import org.wisteriahinge.core.model.CustomerId
import org.wisteriahinge.core.model.KeyedCustomer
import org.wisteriahinge.core.model.ListedTargets
import org.wisteriahinge.core.model.LoadReport
import org.wisteriahinge.core.model.MatchedOperation
import org.wisteriahinge.core.model.OperationId
import org.wisteriahinge.core.model.Plan
import org.wisteriahinge.core.model.PlanId
import org.wisteriahinge.core.model.Repeatability
import org.wisteriahinge.core.model.RequestDigest
import org.wisteriahinge.core.model.Route
import org.wisteriahinge.core.model.RouteTable
import org.wisteriahinge.core.model.Standing
import org.wisteriahinge.core.model.Target
import org.wisteriahinge.core.model.TargetId
import org.wisteriahinge.core.model.Zone
import org.wisteriahinge.core.routing.RoutingPolicy
import org.wisteriahinge.core.routing.RoutingState
import org.wisteriahinge.core.survey.SurveyPolicy
import org.wisteriahinge.core.survey.SurveysState

private const val MICROS = 1_000L
private const val HOP_MICROS = 700L

/** Targets work slower by [KNEE_PACE] above this utilization. */
private const val KNEE = 0.8
private const val KNEE_PACE = 1.7
private const val QUEUE = 12

/** Share of the targets whose machine is slowed by neighbours at a time, and how much. */
private const val NOISY_SHARE = 0.3
private const val NOISY_PACE = 4.0
private const val NOISE_MICROS = 300 * MICROS

private const val CUSTOMERS = 20
private const val CALLER_RETRIES = 2

/** A kind of request: [perSecond] requests that each take about [workMillis] at a target. */
internal data class Kind(
    val name: String,
    val priority: Int,
    val perSecond: Double,
    val workMillis: Long,
    val objectiveMillis: Long,
    val deadlineMillis: Long,
    val hotCustomer: Int? = null,
    val repeatsAtOnce: Boolean = false,
    val fromMillis: Long = 0
)

/** How one request of a caller ended, over all of its tries. */
internal data class Ended(
    val kind: Kind,
    val customer: Int,
    val startedMillis: Double,
    val servedMillis: Double?
) {
    val isGood: Boolean
        get() = servedMillis != null && servedMillis <= kind.objectiveMillis
}

private class Place(val target: Target) {
    val waiting = ArrayDeque<() -> Unit>()
    var running = 0
    var pace = 1.0

    fun report(now: Instant) =
        LoadReport(running + waiting.size, target.slots, now, pacePercent = (pace * 100).toInt())
}

/** The next try of a request that first arrived at [firstAt], with [left] more after it. */
private data class Try(
    val kind: Kind,
    val customer: Int,
    val firstAt: Long,
    val id: Long,
    val left: Int,
    val sentAt: Long
)

/**
 * Several instances that serve [kinds] at the targets of one service under one virtual clock.
 * Callers return after a refusal as `Retry-After` says, but wait at most a third of their time.
 */
internal class ScarceService(
    instances: Int,
    targets: Int,
    slots: Int,
    private val kinds: List<Kind>,
    seed: Long,
    private val noise: Boolean = false
) {
    private val random = SplittableRandom(seed)
    private val events = PriorityQueue<Triple<Long, Long, () -> Unit>>(
        compareBy({ it.first }, { it.second })
    )
    private var order = 0L
    private var nowMicros = 0L
    private var calls = 0L
    private val tries = HashMap<Long, Try>()
    private val routes = kinds.associateWith { route(it) }
    private val places = (1..targets).associate {
        val id = TargetId("t$it")
        id to Place(Target(id, Zone("a"), Address("10.0.${it / 250}.${it % 250}", 80), slots))
    }
    private val states = Array(instances) { initial(it) }
    private val ticksAt = LongArray(instances) { Long.MAX_VALUE }
    private var endMicros = 0L

    val ended = mutableListOf<Ended>()

    /** Times from the arrival of a call to its refusal. */
    val refusedAfterMillis = mutableListOf<Double>()
    var probes = 0
        private set

    private val now: Instant get() = CallFixture.start.plusNanos(nowMicros * 1_000)

    private fun route(kind: Kind) = Route(
        OperationId(kind.name),
        "lab.example",
        "/${kind.name}/",
        persistentListOf(Backend(OpenRoutesFixture.service, 1)),
        Repeatability.Repeatable,
        CallBounds(2, null, Duration.ofMillis(kind.objectiveMillis), kind.priority)
    )

    private fun initial(index: Int): CallsState {
        val listed = places.values.map { it.target }
        val members = listed.fold(persistentListOf<Target>()) { all, one -> all.add(one) }
        val table = RouteTable.of(routes.values.toList())
        return CallsState(
            Configuration.Empty,
            RoutingState(RoutingPolicy.LeastExpectedTime(), Zone("a"), seed = index + 1L),
            surveys = SurveysState(SurveyPolicy.BeforeEach())
        ).decide(CallEvent.Configured(OpenRoutesFixture.configuration(table)), now).state.decide(
            CallEvent.TargetsListed(
                ListedTargets(persistentHashMapOf(OpenRoutesFixture.service to members))
            ),
            now
        ).state
    }

    private fun after(micros: Long, action: () -> Unit) {
        events.add(Triple(nowMicros + micros, order++, action))
    }

    /** Plays the demand of all kinds for [length], and the rest of the calls that it started. */
    fun play(length: Duration): ScarceService {
        endMicros = length.toNanos() / 1_000
        kinds.forEach { kind -> after(kind.fromMillis * MICROS) { nextArrival(kind) } }
        if (noise) drawPaces()
        while (true) {
            val (at, _, action) = events.poll() ?: return this
            nowMicros = at
            action()
        }
    }

    private fun drawPaces() {
        places.values.forEach {
            it.pace = if (random.nextDouble() <
                NOISY_SHARE
            ) {
                NOISY_PACE
            } else {
                1.0
            }
        }
        if (nowMicros < endMicros) after(NOISE_MICROS) { drawPaces() }
    }

    private fun nextArrival(kind: Kind) {
        val gap = -Math.log(1 - random.nextDouble()) * 1e6 / kind.perSecond
        after(gap.toLong()) {
            if (nowMicros >= endMicros) return@after
            val id = calls + 1
            attempt(Try(kind, drawCustomer(kind), nowMicros, id, CALLER_RETRIES, nowMicros))
            nextArrival(kind)
        }
    }

    private fun drawCustomer(kind: Kind) = kind.hotCustomer ?: random.nextInt(CUSTOMERS)

    private fun attempt(tried: Try) {
        calls += 1
        val callId = calls
        tries[callId] = tried
        val instance = (tried.id % states.size).toInt()
        val deadline = CallFixture.start
            .plusNanos((tried.firstAt + tried.kind.deadlineMillis * MICROS) * 1_000)
        val request = OpenRoutesFixture.request(callId, "/${tried.kind.name}/1").copy(
            arrivedAt = now,
            deadline = deadline,
            content = object : RequestContent {
                override fun digest() = RequestDigest("digest-${tried.id}")
                override fun fingerprint() = tried.id
            },
            callerAddress = "10.9.0.1"
        )
        val service = states[instance].configuration.entitlements.services
            .getValue(OpenRoutesFixture.service)
        val matched = MatchedOperation(service, routes.getValue(tried.kind).operation)
        val checked = CheckedCall(caller(tried.customer), matched)
        perform(instance, states[instance].admit(request, checked, now))
    }

    private fun caller(customer: Int): EntitledCaller {
        val id = CustomerId("c$customer")
        val keyed = KeyedCustomer(id, persistentSetOf())
        val allowance = Allowance(1e9, 1_000_000, 1_000_000, Long.MAX_VALUE, Long.MAX_VALUE)
        return EntitledCaller(
            Customer(id, PlanId("open"), persistentListOf(), Standing.Active),
            Plan(PlanId("open"), allowance, persistentSetOf(), 1),
            isOpen = true,
            keyed = keyed
        )
    }

    private fun handle(instance: Int, event: CallEvent) =
        perform(instance, states[instance].decide(event, now))

    private fun perform(instance: Int, decision: CallsDecision) {
        states[instance] = decision.state
        decision.effects.forEach { effect ->
            when (effect) {
                is CallEffect.Probe -> probe(instance, effect.target.id)
                is CallEffect.Forward ->
                    after(HOP_MICROS) { reach(instance, effect.callId, effect.attempt) }
                is CallEffect.Refuse -> refused(effect.callId.value, effect.refusal.retryAfter)
                else -> Unit
            }
        }
        scheduleTick(instance)
    }

    private fun scheduleTick(instance: Int) {
        if (nowMicros > endMicros + 10_000_000) return
        val due = Duration.between(CallFixture.start, states[instance].tickDueAt(now))
        val dueMicros = maxOf(due.toNanos() / 1_000, nowMicros + MICROS)
        if (dueMicros >= ticksAt[instance]) return
        ticksAt[instance] = dueMicros
        after(dueMicros - nowMicros) {
            if (ticksAt[instance] != nowMicros) return@after
            ticksAt[instance] = Long.MAX_VALUE
            handle(instance, CallEvent.Ticked)
        }
    }

    private fun probe(instance: Int, target: TargetId) {
        probes += 1
        after(HOP_MICROS) {
            val load = places.getValue(target).report(now)
            after(HOP_MICROS) {
                handle(instance, CallEvent.LoadReported(target, load.copy(observedAt = now)))
            }
        }
    }

    private fun reach(instance: Int, callId: CallId, attempt: Attempt) {
        val place = places.getValue(attempt.target.id)
        val work = tries.getValue(callId.value).kind.workMillis * (0.7 + 0.6 * random.nextDouble())
        val run = {
            place.running += 1
            val knee = if (place.running > place.target.slots * KNEE) KNEE_PACE else 1.0
            after((work * MICROS * place.pace * knee).toLong()) {
                place.running -= 1
                place.waiting.removeFirstOrNull()?.invoke()
                val load = place.report(now)
                after(HOP_MICROS) { answered(instance, callId, attempt, load) }
            }
        }
        when {
            place.running < place.target.slots -> run()
            place.waiting.size < QUEUE -> place.waiting.add(run)
            else -> after(HOP_MICROS) {
                val failed = CallEvent.AttemptFailed(callId, attempt.id, AttemptFailure.Shed, true)
                handle(instance, failed)
            }
        }
    }

    private fun answered(instance: Int, callId: CallId, attempt: Attempt, load: LoadReport) {
        handle(instance, CallEvent.Answered(callId, attempt.id, 200, load.copy(observedAt = now)))
        handle(instance, CallEvent.Completed(callId, attempt.id))
        tries.remove(callId.value)?.let { end(it, (nowMicros - it.firstAt) / 1e3) }
    }

    private fun refused(callId: Long, retryAfter: Duration?) {
        val tried = tries.remove(callId) ?: return
        refusedAfterMillis += (nowMicros - tried.sentAt) / 1e3
        val leftMicros = tried.firstAt + tried.kind.deadlineMillis * MICROS - nowMicros
        val asked = (retryAfter ?: Duration.ofMillis(50)).toNanos() / 1_000
        val wait = if (tried.kind.repeatsAtOnce) MICROS else minOf(asked, leftMicros / 3)
        if (tried.left == 0 || leftMicros <= 0) return end(tried, null)
        after(wait) { attempt(tried.copy(left = tried.left - 1, sentAt = nowMicros)) }
    }

    private fun end(tried: Try, servedMillis: Double?) {
        ended += Ended(tried.kind, tried.customer, tried.firstAt / 1e3, servedMillis)
    }

    /** Share of the requests that [among] selects which were answered within their objective. */
    fun goodShare(among: (Ended) -> Boolean = { true }): Double =
        ended.filter(among).let { all -> all.count { it.isGood } / all.size.toDouble() }
}
