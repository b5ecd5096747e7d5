package org.wisteriahinge.core.quota

import java.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentHashSetOf
import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.Test
import org.wisteriahinge.core.call.CallEffect
import org.wisteriahinge.core.call.CallEvent
import org.wisteriahinge.core.call.CallFixture
import org.wisteriahinge.core.call.CallRequest
import org.wisteriahinge.core.call.CallsDecision
import org.wisteriahinge.core.call.CheckedCall
import org.wisteriahinge.core.call.EntitledCaller
import org.wisteriahinge.core.call.admit
import org.wisteriahinge.core.call.decide
import org.wisteriahinge.core.handover.HandedOverCall
import org.wisteriahinge.core.model.Address
import org.wisteriahinge.core.model.CallBounds
import org.wisteriahinge.core.model.CallId
import org.wisteriahinge.core.model.CustomerId
import org.wisteriahinge.core.model.InstanceId
import org.wisteriahinge.core.model.KeyedCustomer
import org.wisteriahinge.core.model.OperationId
import org.wisteriahinge.core.model.Refusal
import org.wisteriahinge.core.model.RefusalReason
import org.wisteriahinge.core.model.Repeatability
import org.wisteriahinge.core.model.RequestQuota
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isNotEmpty
import strikt.assertions.isNotNull

private val near = Address("10.0.0.1", 7000)
private val far = Address("10.0.0.2", 7000)
private val customer = CustomerId("large")

/** Guards against calls that are sent without a token, wait in vain, or use a token twice. */
class QuotaStageTest {
    private val start = CallFixture.start
    private val keyed =
        KeyedCustomer(customer, persistentHashSetOf(), quota = RequestQuota(10.0, 10))
    private val policy = QuotaPolicy.ThroughRelays(persistentListOf(near, far))
    private val initial = CallFixture.state().copy(quotas = QuotaClient(policy))

    private fun CallsDecision.arrive(
        id: Long,
        after: Long = 0,
        keyed: KeyedCustomer = this@QuotaStageTest.keyed
    ): CallsDecision {
        val now = start.plusMillis(after)
        return state.admit(request(id, after), checked(keyed), now)
    }

    private fun request(id: Long, after: Long): CallRequest =
        CallFixture.request(id, arrivedAt = start.plusMillis(after))

    private fun checked(keyed: KeyedCustomer): CheckedCall {
        val lists = initial.configuration
        val owner = lists.customers.byId.values.first()
        val matched = checkNotNull(lists.entitlements.match("POST", "/lookup"))
        val plan = lists.entitlements.plans.getValue(owner.plan)
        return CheckedCall(EntitledCaller(owner, plan, isOpen = true, keyed = keyed), matched)
    }

    private fun CallsDecision.handle(event: CallEvent, after: Long) =
        state.decide(event, start.plusMillis(after))

    private fun granted(relay: Address, askedAfter: Long, tokens: Int, nextIn: Duration? = null) =
        CallEvent.QuotaAnswered(
            relay,
            start.plusMillis(askedAfter),
            persistentListOf(QuotaGrant(customer, tokens, nextIn))
        )

    private fun unanswered(relay: Address, askedAfter: Long) =
        CallEvent.QuotaUnanswered(relay, start.plusMillis(askedAfter), RelayFailure.Silent)

    private fun CallsDecision.asked(): List<QuotaQuestion> =
        effects.filterIsInstance<CallEffect.AskQuota>().map { it.question }

    private fun CallsDecision.sent() = effects.filterIsInstance<CallEffect.Forward>()

    private fun CallsDecision.refusal(): Refusal? =
        effects.filterIsInstance<CallEffect.Refuse>().singleOrNull()?.refusal

    @Test
    fun `a call is sent once a relay granted a token`() {
        val waiting = CallsDecision(initial).arrive(1)
        expectThat(waiting.sent()).isEmpty()
        expectThat(waiting.asked().map { it.relay }).isEqualTo(listOf(near))
        expectThat(waiting.handle(granted(near, 0, tokens = 1), 3).sent()).isNotEmpty()
    }

    @Test
    fun `calls that arrive while a question is open share the next one`() {
        val waiting = CallsDecision(initial).arrive(1).arrive(2, after = 1).arrive(3, after = 2)
        val next = waiting.handle(granted(near, 0, tokens = 1), 3)
        expectThat(next.asked().single().wants).isEqualTo(wants(2))
    }

    private fun wants(tokens: Int): PersistentList<QuotaWant> =
        persistentListOf(QuotaWant(customer, tokens))

    @Test
    fun `a call that no relay has a token for is told when one will be there`() {
        val next = CallsDecision(initial).arrive(1)
            .handle(granted(near, 0, tokens = 0, nextIn = Duration.ofMillis(900)), 3)
        expectThat(next.asked().map { it.relay }).isEqualTo(listOf(far))
        val end = next.handle(granted(far, 3, tokens = 0, nextIn = Duration.ofMillis(700)), 6)
        expectThat(end.refusal()?.reason).isEqualTo(RefusalReason.QuotaExceeded)
        expectThat(end.refusal()?.retryAfter).isNotNull()
            .isGreaterThanOrEqualTo(Duration.ofMillis(700))
        expectThat(end.arrive(2, after = 10).asked()).isEmpty()
    }

    @Test
    fun `a relay that does not know a new customer yet is asked again soon`() {
        val unknown = CallsDecision(initial).arrive(1)
            .handle(granted(near, 0, tokens = 0), 3)
            .handle(granted(far, 3, tokens = 0), 6)
        expectThat(unknown.arrive(2, after = 400).asked()).isNotEmpty()
    }

    @Test
    fun `a call whose relays do not answer is refused and not charged`() {
        val next = CallsDecision(initial).arrive(1).handle(unanswered(near, 0), 120)
        val end = next.handle(unanswered(far, 120), 240)
        expectThat(end.refusal()?.reason).isEqualTo(RefusalReason.QuotaUnavailable)
    }

    @Test
    fun `a call does not wait longer than its caller`() {
        val waiting = CallsDecision(initial).arrive(1).handle(CallEvent.Ticked, 1_000)
        expectThat(waiting.refusal()?.reason).isEqualTo(RefusalReason.QuotaUnavailable)
        expectThat(waiting.state.quotas.waiting).isEqualTo(persistentHashMapOf())
    }

    @Test
    fun `a token for a call whose caller left is used once and only at once`() {
        val left = CallsDecision(initial).arrive(1)
            .handle(CallEvent.CallerGone(CallId(1)), 1)
            .handle(granted(near, 0, tokens = 1), 3)
        val used = left.arrive(2, after = 100)
        expectThat(used.sent()).isNotEmpty()
        expectThat(used.arrive(3, after = 101).sent()).isEmpty()
        // An instance that stood still in between holds tokens of a window that is over.
        expectThat(left.arrive(2, after = 300).sent()).isEmpty()
    }

    @Test
    fun `the token of a call that no target takes serves the next call`() {
        val withoutTargets = initial.copy(configuration = CallFixture.state(0).configuration)
            .copy(routing = CallFixture.state(0).routing)
        val refused = CallsDecision(withoutTargets).arrive(1).handle(granted(near, 0, 1), 3)
        expectThat(refused.refusal()?.reason).isEqualTo(RefusalReason.NoTarget)
        expectThat(refused.arrive(2, after = 100).asked()).isEmpty()
        expectThat(refused.arrive(2, after = 300).asked()).isNotEmpty()
    }

    @Test
    fun `an answer to a question that was given up grants nothing`() {
        val late = CallsDecision(initial).arrive(1)
            .handle(CallEvent.Ticked, 400)
            .arrive(2, after = 2_500)
        expectThat(late.asked()).isNotEmpty()
        val answered = late.handle(granted(near, 0, tokens = 1), 2_501)
        expectThat(answered.sent()).isEmpty()
    }

    @Test
    fun `customers without a quota and calls of other instances are not charged`() {
        val free = CallsDecision(initial).arrive(1, keyed = keyed.copy(quota = null))
        expectThat(free.sent()).isNotEmpty()
        val handover = HandedOverCall(
            InstanceId("other"),
            CallFixture.service,
            OperationId("lookup"),
            Repeatability.Repeatable,
            CallBounds.None,
            callerAddress = null
        )
        val handedOver = request(2, 0).copy(handover = handover)
        expectThat(initial.admit(handedOver, checked(keyed), start).sent()).isNotEmpty()
    }

    @Test
    fun `a relay that starts has no tokens and a lower quota caps those it has`() {
        val owner = QuotaOwner(1).configured(100.0, 0)
        expectThat(owner.grant(1_000, 0)).isEqualTo(0)
        expectThat(owner.configured(1.0, 10_000).grant(1_000, 10_000)).isEqualTo(11)
    }

    private fun QuotaOwner.configured(rate: Double, after: Long): QuotaOwner {
        val quotas = persistentHashMapOf(customer to RequestQuota(rate, rate.toInt()))
        return decide(QuotaOwnerEvent.Configured(quotas), start.plusMillis(after)).state
    }

    private fun QuotaOwner.grant(tokens: Int, after: Long): Int =
        decide(QuotaOwnerEvent.Asked(wants(tokens)), start.plusMillis(after)).grants.single().tokens
}
