package org.wisteriahinge.core.quota

import java.time.Duration
import java.time.Instant
import java.util.PriorityQueue
import java.util.SplittableRandom
import kotlin.math.ceil
import kotlin.math.ln
import kotlin.math.pow
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashSetOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.wisteriahinge.core.call.CallEffect
import org.wisteriahinge.core.call.CallEvent
import org.wisteriahinge.core.call.CallFixture
import org.wisteriahinge.core.call.CallRequest
import org.wisteriahinge.core.call.CallsDecision
import org.wisteriahinge.core.call.CallsState
import org.wisteriahinge.core.call.CheckedCall
import org.wisteriahinge.core.call.EntitledCaller
import org.wisteriahinge.core.call.admit
import org.wisteriahinge.core.call.decide
import org.wisteriahinge.core.handover.PeerInstance
import org.wisteriahinge.core.model.Address
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.CustomerId
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.core.model.KeyedCustomer
import org.wisteriahinge.core.model.RequestQuota
import org.wisteriahinge.core.model.Zone

private val ONE_WAY: Duration = Duration.ofMillis(2)
private val ASK_TIMEOUT: Duration = Duration.ofMillis(120)
private val WINDOW: Duration = Duration.ofSeconds(5)
private const val ZONES = 3
private const val CALLERS = 1_600
private const val USUAL_PER_SECOND = 917.0
private const val QUOTA_RATIO = 1.6
private const val SKEW = 1.2

/** How a relay reacts to an instance. */
internal enum class RelayCondition { Answering, Refusing, Silent }

/** A request that was [admitted], or refused, at a moment after the start of the play. */
internal class Decided(val customer: CustomerId, val at: Instant, val admitted: Boolean)

/**
 * Several instances and three relays that serve 88 customers under one virtual clock. Each instance
 * has a clock of its own, which differs by hours.
 */
internal class QuotaPlay(private val instances: Int, seed: Long = 1) {
    val start: Instant = CallFixture.start
    var now: Instant = start
        private set
    private val weights = (1..CUSTOMERS).sumOf { it.toDouble().pow(-SKEW) }
    private val random = SplittableRandom(seed)
    private val relays = (0 until ZONES).map { Address("10.0.0.$it", 7000) }
    private val events = PriorityQueue<Event>(compareBy({ it.at }, { it.number }))
    private var scheduled = 0L
    private var calls = 0L
    private val owners = relays.associateWith { QuotaOwner(relays.size) }.toMutableMap()
    private val states = (0 until instances).map(::newInstance).toMutableList()
    private val clockOffsets = (0 until instances).map { Duration.ofHours(it % 48L - 24) }
    private val live = (0 until instances).toMutableSet()
    private val waiting = HashMap<CallId, KeyedCustomer>()
    private val homes = HashMap<Pair<CustomerId, Int>, Int>()
    val customers: List<KeyedCustomer> = (1..CUSTOMERS).map { customer(it) }
    val decided = mutableListOf<Decided>()
    var questions = 0
        private set

    /** How a relay, by its number, reacts to an instance, by its number. */
    var condition: (Int, Int) -> RelayCondition = { _, _ -> RelayCondition.Answering }

    /** Requests a second of a customer, by its place in the order of size. */
    var demand: (Int) -> Double = ::usual

    /** The instances that the callers of a customer reach; null for those of all callers. */
    var reached: (Int) -> List<Int>? = { null }

    init {
        configure(customers.associate { it.id to checkNotNull(it.quota) })
    }

    fun usual(rank: Int): Double = USUAL_PER_SECOND * rank.toDouble().pow(-SKEW) / weights

    private fun customer(rank: Int): KeyedCustomer {
        val rate = maxOf(1.0, ceil(usual(rank) * QUOTA_RATIO))
        return KeyedCustomer(
            CustomerId("c-$rank"),
            persistentHashSetOf(),
            quota = RequestQuota(rate, rate.toInt())
        )
    }

    private fun newInstance(index: Int): CallsState {
        val own = relays.getOrNull(index)
        val policy = QuotaPolicy.ThroughRelays(relays.toPersistentList(), own, index.toLong())
        val state = CallFixture.state().copy(quotas = QuotaClient(policy))
        val peers = (0 until instances).filter { it != index }.map {
            val zone = if (it % ZONES == index % ZONES) state.routing.zone else Zone("other")
            PeerInstance(InstanceId("i-$it"), zone, Address("10.0.0.$it", 1), "")
        }
        return state.decide(CallEvent.PeersListed(peers.toPersistentList()), start).state
    }

    /** Applies [quotas] at all relays; instances know them already. */
    fun configure(quotas: Map<CustomerId, RequestQuota>) {
        val configured = QuotaOwnerEvent.Configured(quotas.toPersistentMap())
        owners.replaceAll { _, owner -> owner.decide(configured, now).state }
    }

    /** Starts a relay again, which has forgotten everything. */
    fun restartRelay(number: Int) {
        owners[relays[number]] = QuotaOwner(relays.size)
        configure(customers.associate { it.id to checkNotNull(it.quota) })
    }

    fun kill(all: Collection<Int>) {
        live.removeAll(all.toSet())
    }

    fun restart(all: Collection<Int>) {
        all.forEach { states[it] = newInstance(it) }
        live.addAll(all)
    }

    /** Callers send requests at random moments for [length]. */
    fun play(length: Duration) {
        val until = now + length
        val rates = (1..CUSTOMERS).map { demand(it) }
        val total = rates.sum()
        while (true) {
            val pause = -ln(1 - random.nextDouble()) / total
            val next = now + Duration.ofNanos((pause * 1e9).toLong())
            runUntil(minOf(next, until))
            if (next >= until) return
            arrive(pick(rates, total))
        }
    }

    private fun pick(rates: List<Double>, total: Double): Int {
        var left = random.nextDouble() * total
        rates.forEachIndexed { index, rate ->
            left -= rate
            if (left < 0) return index + 1
        }
        return rates.size
    }

    private fun arrive(rank: Int) {
        val customer = customers[rank - 1]
        val callers = maxOf(1, (CALLERS * usual(rank) / USUAL_PER_SECOND).toInt())
        val home = homes.getOrPut(customer.id to random.nextInt(callers)) {
            random.nextInt(instances)
        }
        val choices = reached(rank) ?: listOf(home)
        val chosen = choices[random.nextInt(choices.size)]
        val index = if (chosen in live) chosen else live.elementAt(random.nextInt(live.size))
        calls += 1
        val at = now + clockOffsets[index]
        val request = CallFixture.request(calls, arrivedAt = at)
        val state = states[index]
        perform(index, customer, request, state.admit(request, checked(state, customer), at))
    }

    private fun checked(state: CallsState, customer: KeyedCustomer): CheckedCall {
        val lists = state.configuration
        val owner = lists.customers.byId.values.first()
        val plan = lists.entitlements.plans.getValue(owner.plan)
        val matched = checkNotNull(lists.entitlements.match("POST", "/lookup"))
        return CheckedCall(EntitledCaller(owner, plan, isOpen = true, keyed = customer), matched)
    }

    private fun perform(
        index: Int,
        customer: KeyedCustomer,
        request: CallRequest,
        decision: CallsDecision
    ) {
        waiting[request.callId] = customer
        perform(index, decision)
    }

    private fun handle(index: Int, event: CallEvent) {
        if (index !in live) return
        perform(index, states[index].decide(event, now + clockOffsets[index]))
    }

    private fun perform(index: Int, decision: CallsDecision) {
        states[index] = decision.state
        decision.effects.forEach { effect ->
            when (effect) {
                is CallEffect.Forward -> {
                    decided(effect.callId, admitted = true)
                    handle(index, CallEvent.Answered(effect.callId, effect.attempt.id, 200, null))
                    handle(index, CallEvent.Completed(effect.callId, effect.attempt.id))
                }
                is CallEffect.Refuse -> decided(effect.callId, admitted = false)
                is CallEffect.AskQuota -> ask(index, effect.question)
                else -> Unit
            }
        }
    }

    private fun decided(call: CallId, admitted: Boolean) {
        val customer = checkNotNull(waiting.remove(call))
        decided += Decided(customer.id, now, admitted)
    }

    private fun ask(index: Int, question: QuotaQuestion) {
        questions += 1
        val id = question.askedAt
        val relay = question.relay
        when (condition(relays.indexOf(relay), index)) {
            RelayCondition.Answering -> after(ONE_WAY) {
                val event = QuotaOwnerEvent.Asked(question.wants)
                val asked = owners.getValue(relay).decide(event, now)
                owners[relay] = asked.state
                after(ONE_WAY) { handle(index, CallEvent.QuotaAnswered(relay, id, asked.grants)) }
            }
            RelayCondition.Refusing ->
                after(ONE_WAY) { unanswered(index, relay, id, RelayFailure.Refused) }
            RelayCondition.Silent ->
                after(ASK_TIMEOUT) { unanswered(index, relay, id, RelayFailure.Silent) }
        }
    }

    private fun unanswered(index: Int, relay: Address, id: Instant, failure: RelayFailure) =
        handle(index, CallEvent.QuotaUnanswered(relay, id, failure))

    private class Event(val at: Instant, val number: Long, val run: () -> Unit)

    private fun after(delay: Duration, run: () -> Unit) {
        scheduled += 1
        events.add(Event(now + delay, scheduled, run))
    }

    private fun runUntil(moment: Instant) {
        while (events.isNotEmpty() && events.peek().at <= moment) {
            val next = events.poll()
            now = next.at
            next.run()
        }
        now = moment
    }

    /** Requests of a customer that ran since [from]. */
    fun admitted(rank: Int, from: Instant = start): Int =
        decided.count { it.customer == customers[rank - 1].id && it.admitted && it.at >= from }

    /** Part of the requests of the [ranks] since [from] that were refused. */
    fun refusedRatio(ranks: IntRange = 1..CUSTOMERS, from: Instant = start): Double {
        val ids = ranks.map { customers[it - 1].id }.toSet()
        val all = decided.filter { it.customer in ids && it.at >= from }
        return all.count { !it.admitted }.toDouble() / all.size
    }

    /** The most that a customer got in a window since [from], over what it may get at most. */
    fun mostOfBound(
        quotas: (Int) -> RequestQuota = { checkNotNull(customers[it - 1].quota) },
        from: Instant = start
    ): Double = (1..CUSTOMERS).maxOf { rank ->
        val id = customers[rank - 1].id
        val times = decided.filter { it.customer == id && it.admitted && it.at >= from }
            .map { it.at }
        var first = 0
        val most = times.indices.maxOfOrNull { last ->
            while (times[first] <= times[last] - WINDOW) first += 1
            last - first + 1
        } ?: 0
        most / bound(quotas(rank))
    }

    private fun bound(quota: RequestQuota): Double =
        (quota.requestsPerSecond * WINDOW.toSeconds() + quota.burstRequests) * 1.1 + 20

    companion object {
        const val CUSTOMERS = 88
    }
}
